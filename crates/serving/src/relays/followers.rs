use {
    super::{Extent, Follow},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
};

/// Silence after which an instance doesn't count as a follower any more, in ms: some heartbeats of a
/// large fleet.
const GONE_MS: u64 = 3_000;
/// Time after which what was sent to a follower counts as lost if its next heartbeat still shows it behind,
/// in ms: most arrive within some ten.
const LOST_MS: u64 = 400;

/// What a follower is still to show that it has.
#[derive(Debug, Clone, Copy)]
struct Awaited {
    extent: Extent,
    since: MonoMs,
}

#[derive(Debug)]
struct Follower {
    follow: Follow,
    heard_at: MonoMs,
    awaited: Option<Awaited>,
    is_new: bool,
}

/// What is to be sent to whom.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Shipment {
    /// Those that get the changes since the last word to all, and what that said.
    pub changes_to: Vec<SocketAddr>,
    /// See `changes_to`.
    pub told: Extent,
    /// Those that are told only how far the relay is.
    pub word_to: Vec<SocketAddr>,
    /// Those that lack more, by what they have.
    pub behind: BTreeMap<Extent, Vec<SocketAddr>>,
}

/// The instances that go by this one's reading of the store.
#[derive(Debug, Default)]
pub struct Followers {
    by_address: HashMap<SocketAddr, Follower>,
    /// What the last word to all said.
    told: Extent,
    is_word_due: bool,
}

impl Followers {
    /// An instance asks to be told.
    pub fn note(&mut self, now: MonoMs, address: SocketAddr, follow: Follow) {
        let follower = self.by_address.entry(address).or_insert(Follower {
            follow,
            heard_at: now,
            awaited: None,
            is_new: true,
        });
        // One that asks for the changes from now on, since the relay that told it them is gone, or that
        // started again and knows nothing.
        follower.is_new |= follow.wants_changes && !follower.follow.wants_changes;
        follower.is_new |= !follow.known.covers(&follower.follow.known);
        follower.follow = follow;
        follower.heard_at = now;
        let has = |awaited: &Awaited| follow.known.covers(&awaited.extent);
        if follower.awaited.as_ref().is_some_and(has) {
            follower.awaited = None;
        }
    }

    /// It is time for a word to all.
    pub fn word_is_due(&mut self) {
        self.is_word_due = true;
    }

    /// Whether nobody goes by this instance.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Forgets those that ask no more.
    pub fn forget_old(&mut self, now: MonoMs) {
        self.by_address
            .retain(|_, follower| now.since(follower.heard_at) < GONE_MS);
    }

    /// What is to be sent now to those that are linked, if this instance knows so much.
    pub fn shipment(
        &mut self,
        now: MonoMs,
        known: Extent,
        is_linked: impl Fn(&SocketAddr) -> bool,
    ) -> Shipment {
        let mut shipment = Shipment {
            told: self.told,
            ..Shipment::default()
        };
        let is_due = std::mem::take(&mut self.is_word_due);
        if is_due {
            self.told = known;
        }
        for (address, follower) in &mut self.by_address {
            let is_awaiting = is_due || follower.is_new || follower.lost_something();
            if !is_awaiting || !is_linked(address) {
                continue;
            }
            let is_new = std::mem::take(&mut follower.is_new);
            let wants_changes = follower.follow.wants_changes;
            if follower.lost_something() || (is_new && wants_changes) {
                let behind = shipment.behind.entry(follower.follow.known).or_default();
                behind.push(*address);
                follower.awaited = None;
            } else if is_due && wants_changes {
                shipment.changes_to.push(*address);
            } else {
                shipment.word_to.push(*address);
            }
            follower.await_it(now, known);
        }
        shipment
    }
}

impl Follower {
    /// Whether its last heartbeat shows that something that it was told of didn't arrive.
    fn lost_something(&self) -> bool {
        self.awaited
            .is_some_and(|awaited| self.heard_at > awaited.since + LOST_MS)
    }

    fn await_it(&mut self, now: MonoMs, extent: Extent) {
        if self.awaited.is_none() && !self.follow.known.covers(&extent) {
            let since = now;
            self.awaited = Some(Awaited { extent, since });
        }
    }
}
