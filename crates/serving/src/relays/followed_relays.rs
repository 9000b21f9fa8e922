use {
    super::RelayStatus,
    std::{collections::HashMap, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Maximum age of a relay's status, in ms. A relay polls the store every 900 ms at most, so a status may be
/// late by half a second. If both relays of a failure domain die at the moment at which a target leaves,
/// the instance knows of it within two seconds: this time and one call of the store.
const MAX_STATUS_AGE_MS: u64 = 1_500;
/// Time for which a relay is not followed after the store failed to answer it, in ms: most short failures
/// of the store are over by then.
const EXCLUSION_MS: u64 = 5_000;

/// A relay with a fresh status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Relay {
    /// Peer address of the relay.
    pub address: SocketAddr,
    /// Store revision up to which it knows all changes.
    pub revision: u64,
    /// Time since the store confirmed that revision to it, in ms.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct ConfirmedRevision {
    revision: u64,
    as_of: MonoMs,
}

/// State of the store as this instance knows it through its relays.
#[derive(Debug, Default)]
pub struct FollowedRelays {
    complete_revision: Option<u64>,
    confirmed: HashMap<SocketAddr, ConfirmedRevision>,
    excluded_until: HashMap<SocketAddr, MonoMs>,
}

impl FollowedRelays {
    /// Returns the store revision up to which all changes are known, from relays or from the store itself.
    pub fn complete_revision(&self) -> Option<u64> {
        self.complete_revision
    }

    /// Records that all changes up to a store revision are known.
    pub fn mark_complete_at(&mut self, revision: u64) {
        self.complete_revision = self.complete_revision.max(Some(revision));
    }

    /// Returns whether the changes that came with a status follow without a gap on those that are known.
    ///
    /// They don't if an earlier update was lost, or if nothing is known yet: a part of the published
    /// entries would then be taken for all of them.
    pub fn is_contiguous(&self, status: &RelayStatus) -> bool {
        match (status.since, self.complete_revision) {
            (None, _) => true,
            (Some(since), Some(complete_revision)) => since <= complete_revision,
            (Some(_), None) => false,
        }
    }

    /// Applies a relay's status, after the changes that came with it. Returns whether it confirms that all is known.
    ///
    /// A status that is older than what is known here comes from a relay that lags, or whose store went back
    /// to an earlier state. It doesn't confirm that the newer state still holds, so its age doesn't count.
    pub fn apply_status(
        &mut self,
        now: MonoMs,
        from: SocketAddr,
        status: &RelayStatus,
        own_version: u64,
    ) -> bool {
        if status.is_store_lost {
            self.exclude(now, from);
            return false;
        }
        if !self.is_contiguous(status) {
            return false;
        }
        self.mark_complete_at(status.known.revision);
        self.excluded_until.remove(&from);
        let is_confirmed = self.complete_revision == Some(status.known.revision)
            && own_version >= status.known.version;
        if is_confirmed {
            let confirmed = ConfirmedRevision {
                revision: status.known.revision,
                as_of: MonoMs(now.0.saturating_sub(status.age_ms)),
            };
            self.confirmed.insert(from, confirmed);
        }
        is_confirmed
    }

    /// Records that the store doesn't answer an instance, this one or a relay, which is then not followed for
    /// `EXCLUSION_MS`.
    pub fn exclude(&mut self, now: MonoMs, address: SocketAddr) {
        self.confirmed.remove(&address);
        self.excluded_until.insert(address, now + EXCLUSION_MS);
    }

    /// Records that the store answers an instance again.
    pub fn readmit(&mut self, address: SocketAddr) {
        self.excluded_until.remove(&address);
    }

    /// Returns whether an instance may read the store for others: false while it is excluded because the store
    /// didn't answer it.
    pub fn may_read(&self, now: MonoMs, address: SocketAddr) -> bool {
        let until = self.excluded_until.get(&address);
        until.is_none_or(|until| *until <= now)
    }

    /// Returns the relay with the freshest status; `None` if all are too old.
    pub fn freshest(&self, now: MonoMs) -> Option<Relay> {
        let relays = self.confirmed.iter().map(|(address, confirmed)| Relay {
            address: *address,
            revision: confirmed.revision,
            age_ms: now.since(confirmed.as_of),
        });
        relays
            .filter(|relay| relay.age_ms < MAX_STATUS_AGE_MS)
            .min_by_key(|relay| (relay.age_ms, relay.address))
    }

    /// Returns whether the store has failed to answer an instance recently and no relay has a fresh status.
    pub fn is_store_lost(&self, now: MonoMs) -> bool {
        let is_excluded = self.excluded_until.values().any(|until| *until > now);
        is_excluded && self.freshest(now).is_none()
    }

    /// Removes statuses and exclusions that have expired.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.confirmed
            .retain(|_, confirmed| now.since(confirmed.as_of) < MAX_STATUS_AGE_MS);
        self.excluded_until.retain(|_, until| *until > now);
    }
}
