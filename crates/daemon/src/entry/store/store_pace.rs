use {crate::entry::entry_state::EntryState, whinlatch_serving::StoreRole};

/// Pause between two watches, in ms: targets that start or are replaced write in quick succession, and each
/// change would cost a call of its own.
const WATCH_GAP_MS: u64 = 50;
/// The same for a relay that only takes over if the first one of its failure domain fails, in ms. With it and the
/// time that a watch waits, its status stays fresh.
const STANDBY_WATCH_GAP_MS: u64 = 250;
/// The same for an instance that stands in while its relays are silent, in ms. It stays well below the two
/// seconds within which a leaving target must get no more requests.
const STAND_IN_WATCH_GAP_MS: u64 = 250;
/// Time between two checks for a relay with a fresh status, in ms.
const ROLE_CHECK_INTERVAL_MS: u64 = 50;
/// Time between two checks for state from peers at the start, in ms.
const START_CHECK_INTERVAL_MS: u64 = 20;
/// Shortest delay before a retry while the store doesn't answer, in ms. The delay is random, up to twice this.
const RETRY_INTERVAL_MS: u64 = 150;
/// The same for an instance that starts, has no state yet and can't connect to the store, in ms: callers
/// wait meanwhile, and a failed connection isn't charged as a call.
const STARTING_RETRY_INTERVAL_MS: u64 = 40;
/// Shortest delay of an instance that stands in after its first failure, in ms; it doubles with each further
/// one. Hundreds of instances that retry as often as a relay would use up most calls of a store that is back.
const STAND_IN_RETRY_INTERVAL_MS: u64 = 500;
/// Limit for the number of times that [`STAND_IN_RETRY_INTERVAL_MS`] doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Next step of the store reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Call the store.
    Call,
    /// Nothing: a relay sends the changes.
    Follow,
    /// Determine the role again, after a delay.
    Recheck,
}

/// Decides when the store is called.
#[derive(Debug)]
pub struct StorePace<'a> {
    state: &'a EntryState,
    /// Whether this instance calls the store itself because its relays are silent.
    stands_in: bool,
    /// Consecutive calls that failed.
    failures: u32,
}

impl<'a> StorePace<'a> {
    /// Creates the pace of a reader that has made no call yet.
    pub fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            stands_in: false,
            failures: 0,
        }
    }

    /// Returns whether this instance calls the store itself because its relays are silent.
    pub fn stands_in(&self) -> bool {
        self.stands_in
    }

    /// Records that a call was answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Determines the next step; waits first unless that is [`Turn::Call`].
    pub async fn next_turn(&mut self) -> Turn {
        let role = self.store_role();
        let stood_in_before = self.stands_in;
        self.stands_in = matches!(role, StoreRole::StandIn { .. });
        match role {
            StoreRole::Watch => Turn::Call,
            StoreRole::Follow(_) => {
                self.state.clock.sleep(ROLE_CHECK_INTERVAL_MS).await;
                Turn::Follow
            }
            StoreRole::StandIn { .. } if stood_in_before => Turn::Call,
            StoreRole::StandIn { .. } => {
                let now = self.state.now();
                let spread_ms = self.state.serving().stand_in_spread_ms(now);
                self.wait_for_relay(fastrand::u64(..spread_ms)).await;
                Turn::Recheck
            }
        }
    }

    fn store_role(&self) -> StoreRole {
        let now = self.state.now();
        self.state.serving().store_role(now)
    }

    /// Waits for `max_ms`, or until a relay has a fresh status.
    async fn wait_for_relay(&self, max_ms: u64) {
        let until = self.state.now() + max_ms;
        loop {
            let left_ms = until.since(self.state.now());
            if left_ms == 0 || matches!(self.store_role(), StoreRole::Follow(_)) {
                return;
            }
            self.state
                .clock
                .sleep(left_ms.min(ROLE_CHECK_INTERVAL_MS))
                .await;
        }
    }

    /// Waits at the start until peers have sent the published state, for at most
    /// [`start_patience_ms`](whinlatch_serving::Serving::start_patience_ms).
    pub async fn wait_for_peers(&self) {
        let is_first_start = self.state.settings.is_first_start;
        let patience_ms = self.state.serving().start_patience_ms(is_first_start);
        let began = self.state.now();
        let should_wait = || {
            let now = self.state.now();
            let serving = self.state.serving();
            serving.should_wait_for_peers(now, now.since(began), patience_ms)
        };
        while should_wait() {
            self.state.clock.sleep(START_CHECK_INTERVAL_MS).await;
        }
    }

    /// Waits in a first read for `pause_ms`, or until relays have sent all. Returns whether they have.
    pub async fn wait_for_relays(&self, pause_ms: u64) -> bool {
        let until = self.state.now() + pause_ms;
        while self.state.serving().complete_revision().is_none() {
            if self.state.now() >= until {
                return false;
            }
            self.state.clock.sleep(START_CHECK_INTERVAL_MS).await;
        }
        true
    }

    /// Waits before the next watch, so that one call returns all changes in quick succession.
    pub async fn wait_between_watches(&self) {
        let now = self.state.now();
        let gap_ms = if self.stands_in {
            STAND_IN_WATCH_GAP_MS
        } else if self.state.serving().is_standby_relay(now) {
            STANDBY_WATCH_GAP_MS
        } else {
            WATCH_GAP_MS
        };
        self.state.clock.sleep(gap_ms).await;
    }

    /// Waits after a failure. `is_starting` is true if the instance isn't ready yet and the store is
    /// unreachable.
    pub async fn wait_after_failure(&self, is_starting: bool) {
        let delay_ms = if self.stands_in {
            let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
            STAND_IN_RETRY_INTERVAL_MS << doublings
        } else if is_starting {
            STARTING_RETRY_INTERVAL_MS
        } else {
            RETRY_INTERVAL_MS
        };
        self.wait_for_relay(delay_ms + fastrand::u64(..delay_ms))
            .await;
    }
}
