use {
    super::Word,
    std::{collections::HashMap, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Age up to which a relay's word counts, in ms. A relay asks the store each 900 ms at most, so this bears
/// a word that is late by half a second; and a target that leaves is known here within two seconds even
/// if both relays die at the moment at which it does: this and one call.
const FRESH_MS: u64 = 1_500;
/// Time for which a relay is passed over once the store doesn't answer it, in ms: most of the store's
/// short troubles are over by then.
const PASSED_OVER_MS: u64 = 5_000;

/// A relay that this instance goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Relay {
    /// Where it links.
    pub address: SocketAddr,
    /// Revision up to which it knows all.
    pub revision: u64,
    /// Time since the store told it so, in ms.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    revision: u64,
    as_of: MonoMs,
}

/// What this instance knows through its relays.
#[derive(Debug, Default)]
pub struct Following {
    known_to: Option<u64>,
    heard: HashMap<SocketAddr, Heard>,
    passed_over: HashMap<SocketAddr, MonoMs>,
}

impl Following {
    /// Revision up to which all that was published is known, whichever way it came.
    pub fn known_to(&self) -> Option<u64> {
        self.known_to
    }

    /// All that was published up to a revision is known.
    pub fn complete(&mut self, revision: u64) {
        self.known_to = self.known_to.max(Some(revision));
    }

    /// Whether what comes with a word follows on what is known.
    ///
    /// Guards against a word that was lost on the way, and one that comes before anything is known: a part
    /// of what is published would be taken for all of it.
    pub fn continues(&self, word: &Word) -> bool {
        match (word.since, self.known_to) {
            (None, _) => true,
            (Some(since), Some(known_to)) => since <= known_to,
            (Some(_), None) => false,
        }
    }

    /// Takes in a relay's word, after what came with it.
    ///
    /// Guards against a relay that lies behind, and one whose store went back: what it confirms is older
    /// than what is known here, and says nothing of whether that still holds.
    pub fn heard(&mut self, now: MonoMs, from: SocketAddr, word: &Word, own_version: u64) {
        if word.is_cut_off {
            self.pass_over(now, from);
            return;
        }
        if !self.continues(word) {
            return;
        }
        self.complete(word.known.revision);
        self.passed_over.remove(&from);
        if self.known_to == Some(word.known.revision) && own_version >= word.known.version {
            let heard = Heard {
                revision: word.known.revision,
                as_of: MonoMs(now.0.saturating_sub(word.age_ms)),
            };
            self.heard.insert(from, heard);
        }
    }

    /// The store doesn't answer an instance, this one or a relay.
    pub fn pass_over(&mut self, now: MonoMs, address: SocketAddr) {
        self.heard.remove(&address);
        self.passed_over.insert(address, now + PASSED_OVER_MS);
    }

    /// The store answers an instance.
    pub fn answers(&mut self, address: SocketAddr) {
        self.passed_over.remove(&address);
    }

    /// Whether the store answers an instance, as far as is known.
    pub fn may_read(&self, now: MonoMs, address: SocketAddr) -> bool {
        let until = self.passed_over.get(&address);
        until.is_none_or(|until| *until <= now)
    }

    /// The relay whose word is the freshest, if any is fresh.
    pub fn freshest(&self, now: MonoMs) -> Option<Relay> {
        let relays = self.heard.iter().map(|(address, heard)| Relay {
            address: *address,
            revision: heard.revision,
            age_ms: now.since(heard.as_of),
        });
        relays
            .filter(|relay| relay.age_ms < FRESH_MS)
            .min_by_key(|relay| (relay.age_ms, relay.address))
    }

    /// Whether the store doesn't answer a relay, and no other has fresh word of it.
    pub fn is_store_lost(&self, now: MonoMs) -> bool {
        let is_lost = self.passed_over.values().any(|until| *until > now);
        is_lost && self.freshest(now).is_none()
    }

    /// Forgets what counts no more.
    pub fn forget_old(&mut self, now: MonoMs) {
        self.heard
            .retain(|_, heard| now.since(heard.as_of) < FRESH_MS);
        self.passed_over.retain(|_, until| *until > now);
    }
}
