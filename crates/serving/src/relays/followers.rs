use {
    super::{FollowRequest, KnownState},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
};

/// Silence after which an instance no longer counts as a follower, in ms: several heartbeat intervals of a
/// large fleet.
const FOLLOWER_TIMEOUT_MS: u64 = 3_000;
/// Time after which an update counts as lost if the follower's next heartbeat still lacks it, in ms. Most
/// updates arrive within some ten ms.
const DELIVERY_TIMEOUT_MS: u64 = 400;

/// State that a follower has been sent and whose arrival its heartbeats are still to show.
#[derive(Debug, Clone, Copy)]
struct AwaitedState {
    state: KnownState,
    since: MonoMs,
}

#[derive(Debug)]
struct Follower {
    follow: FollowRequest,
    last_request_at: MonoMs,
    awaited: Option<AwaitedState>,
    /// Whether it is served even if no update is due: with all that it lacks if it requests changes, else
    /// with the relay's status.
    is_new: bool,
}

/// Recipients of a relay's next update.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RelayUpdate {
    /// Followers that get the changes since `previous`.
    pub changes_to: Vec<SocketAddr>,
    /// State that the last update to all followers described.
    pub previous: KnownState,
    /// Followers that get only the relay's status.
    pub status_to: Vec<SocketAddr>,
    /// Followers that lack more than the latest changes, by the state that they have.
    pub lagging: BTreeMap<KnownState, Vec<SocketAddr>>,
}

/// The instances that follow this relay.
#[derive(Debug, Default)]
pub struct Followers {
    by_address: HashMap<SocketAddr, Follower>,
    /// State that the last update to all followers described.
    last_state: KnownState,
    is_update_due: bool,
}

impl Followers {
    /// Applies the request that a follower sends with each heartbeat.
    pub fn apply_follow_request(
        &mut self,
        now: MonoMs,
        address: SocketAddr,
        follow: FollowRequest,
    ) {
        let follower = self.by_address.entry(address).or_insert(Follower {
            follow,
            last_request_at: now,
            awaited: None,
            is_new: true,
        });
        // A follower is new again if it starts to request changes, since its other relay has failed, or if it
        // has restarted and has no state.
        follower.is_new |= follow.requests_changes && !follower.follow.requests_changes;
        follower.is_new |= !follow.known.covers(&follower.follow.known);
        follower.follow = follow;
        follower.last_request_at = now;
        let has_arrived = |awaited: &AwaitedState| follow.known.covers(&awaited.state);
        if follower.awaited.as_ref().is_some_and(has_arrived) {
            follower.awaited = None;
        }
    }

    /// Schedules an update to all followers.
    pub fn schedule_update(&mut self) {
        self.is_update_due = true;
    }

    /// Returns whether no instance follows this relay.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Removes the followers that have stopped sending requests.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.by_address
            .retain(|_, follower| now.since(follower.last_request_at) < FOLLOWER_TIMEOUT_MS);
    }

    /// Returns who gets which update now, given what this relay knows. Followers without a link are
    /// skipped; a new one is served once it is linked.
    pub fn next_update(
        &mut self,
        now: MonoMs,
        known: KnownState,
        is_linked: impl Fn(&SocketAddr) -> bool,
    ) -> RelayUpdate {
        let mut update = RelayUpdate {
            previous: self.last_state,
            ..RelayUpdate::default()
        };
        let is_due = std::mem::take(&mut self.is_update_due);
        if is_due {
            self.last_state = known;
        }
        for (address, follower) in &mut self.by_address {
            let needs_update = is_due || follower.is_new || follower.has_lost_update();
            if !needs_update || !is_linked(address) {
                continue;
            }
            let is_new = std::mem::take(&mut follower.is_new);
            let requests_changes = follower.follow.requests_changes;
            if follower.has_lost_update() || (is_new && requests_changes) {
                let lagging = update.lagging.entry(follower.follow.known).or_default();
                lagging.push(*address);
                follower.awaited = None;
            } else if is_due && requests_changes {
                update.changes_to.push(*address);
            } else {
                update.status_to.push(*address);
            }
            follower.await_state(now, known);
        }
        update
    }
}

impl Follower {
    /// Returns whether the last heartbeat lacks a state that was sent long enough before it.
    fn has_lost_update(&self) -> bool {
        self.awaited
            .is_some_and(|awaited| self.last_request_at > awaited.since + DELIVERY_TIMEOUT_MS)
    }

    fn await_state(&mut self, now: MonoMs, state: KnownState) {
        if self.awaited.is_none() && !self.follow.known.covers(&state) {
            let since = now;
            self.awaited = Some(AwaitedState { state, since });
        }
    }
}
