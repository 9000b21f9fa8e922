use {crate::entry::entry_state::EntryState, whinlatch_serving::StoreRole};

/// Time between two watches, in ms: targets that start or are replaced write one after the other,
/// and each change by itself would cost a call.
const GATHER_MS: u64 = 50;
/// The same for an instance that only looks for itself while its relays are silent, in ms. It stays
/// well below the two seconds in which a leaving target is to be left alone.
const STAND_IN_GATHER_MS: u64 = 250;
/// Time between two looks whether relays have fresh word, in ms.
const DUTY_LOOK_MS: u64 = 50;
/// The same while an instance waits to be told what is published at its start, in ms.
const START_LOOK_MS: u64 = 20;
/// Time between two tries while the store doesn't answer, in ms.
const RETRY_MS: u64 = 150;
/// Time between two tries of an instance that starts, and knows nothing yet, to reach a store that
/// doesn't take its connections, in ms: callers wait meanwhile, and nothing of that is a call.
const STARTING_RETRY_MS: u64 = 40;
/// Time within which instances whose relays fell silent look for themselves, in ms: not all at once, and
/// soon enough for a target that leaves meanwhile.
const STAND_IN_SPREAD_MS: u64 = 150;
/// The same if the store doesn't answer the relays either, in ms. It is likely to be away for all.
const LOST_SPREAD_MS: u64 = 2_000;
/// Time until such an instance tries again after its first failure, in ms, and twice as long after each
/// further one: hundreds that try as often as a relay would take most calls of a store that is back.
const STAND_IN_RETRY_MS: u64 = 500;
/// Failures after which that time grows no more.
const MOST_DOUBLINGS: u32 = 3;

/// What the reader of the store is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It asks the store.
    Ask,
    /// It leaves that to a relay.
    Told,
    /// It looks again.
    Wait,
}

/// When the store is asked.
#[derive(Debug)]
pub struct StorePace<'a> {
    state: &'a EntryState,
    /// Whether this instance looks for itself since its relays are silent.
    stands_in: bool,
    /// Calls that failed since one last didn't.
    failures: u32,
}

impl<'a> StorePace<'a> {
    /// No call was made yet.
    pub fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            stands_in: false,
            failures: 0,
        }
    }

    /// Whether this instance looks for itself since its relays are silent.
    pub fn stands_in(&self) -> bool {
        self.stands_in
    }

    /// A call was answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// A call failed.
    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// What to do now; waits a moment first if that isn't to ask.
    pub async fn turn(&mut self) -> Turn {
        let duty = self.duty();
        let stood_in = self.stands_in;
        self.stands_in = matches!(duty, StoreRole::StandIn { .. });
        match duty {
            StoreRole::Watch => Turn::Ask,
            StoreRole::Follow(_) => {
                self.state.clock.sleep(DUTY_LOOK_MS).await;
                Turn::Told
            }
            StoreRole::StandIn { .. } if stood_in => Turn::Ask,
            StoreRole::StandIn { is_store_lost } => {
                let spread_ms = if is_store_lost {
                    LOST_SPREAD_MS
                } else {
                    STAND_IN_SPREAD_MS
                };
                self.wait_for_word(fastrand::u64(..spread_ms)).await;
                Turn::Wait
            }
        }
    }

    fn duty(&self) -> StoreRole {
        let now = self.state.now();
        self.state.serving().store_role(now)
    }

    /// Waits for so long, or until a relay has fresh word.
    async fn wait_for_word(&self, most_ms: u64) {
        let until = self.state.now() + most_ms;
        loop {
            let left_ms = until.since(self.state.now());
            if left_ms == 0 || matches!(self.duty(), StoreRole::Follow(_)) {
                return;
            }
            self.state.clock.sleep(left_ms.min(DUTY_LOOK_MS)).await;
        }
    }

    /// Gives peers the time to tell what is published, if nobody waits for it.
    pub async fn wait_to_be_told(&self) {
        let is_first_start = self.state.settings.is_first_start;
        let patience_ms = self.state.serving().start_patience_ms(is_first_start);
        let until = self.state.now() + patience_ms;
        while self.state.now() < until && self.state.serving().complete_revision().is_none() {
            self.state.clock.sleep(START_LOOK_MS).await;
        }
    }

    /// Lets changes that follow each other closely gather, so that one call brings them all.
    pub async fn gather(&self) {
        let gather_ms = if self.stands_in {
            STAND_IN_GATHER_MS
        } else {
            GATHER_MS
        };
        self.state.clock.sleep(gather_ms).await;
    }

    /// Waits after a failure. `is_starting` tells that nothing is known yet and the store is out of reach.
    pub async fn pause(&self, is_starting: bool) {
        let pause_ms = if self.stands_in {
            let doublings = self.failures.saturating_sub(1).min(MOST_DOUBLINGS);
            STAND_IN_RETRY_MS << doublings
        } else if is_starting {
            STARTING_RETRY_MS
        } else {
            RETRY_MS
        };
        self.wait_for_word(pause_ms + fastrand::u64(..pause_ms))
            .await;
    }
}
