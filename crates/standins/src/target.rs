//! Faults that fakes simulate, and statistics of targets.

use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap, HashSet},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::RefusalReason,
    },
};

/// Options of a crash, which drops all connections and refuses new ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashOptions {
    /// Time until a new incarnation starts on the same address, in ms; never if absent.
    pub back_after_ms: Option<u64>,
}

/// Faults to simulate from now on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Freezes the process until this is unset: it accepts connections, but does nothing and sends nothing.
    pub frozen: bool,
    /// Refuses requests with `full`.
    pub full: bool,
    /// Refuses requests with `leaving` and reports that it is leaving.
    pub leaving: bool,
    /// Factor by which computing is slower; 1 if absent.
    pub slow_factor: Option<f64>,
    /// Text that crashes the target if a prompt or call contains it: an engine when the prompt starts, a
    /// service after the call has run.
    pub crash_marker: Option<String>,
    /// Options of such a crash.
    pub crash: CrashOptions,
    /// Delay of orders in ms; they take effect even if the sender has disconnected.
    pub order_delay_ms: u64,
    /// Fault of answers that start from now on.
    pub answer: AnswerFault,
    /// Number of answers with that fault; all if absent.
    pub for_answers: Option<u32>,
}

/// Fault of an answer. The answer of a service is one chunk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// Carries the id of another attempt; an engine sends one such chunk before its own.
    Crossed,
    /// Breaks the connection after this many chunks.
    BreakAfter(u64),
    /// Sends nothing more after this many chunks and keeps the connection open.
    SilentAfter(u64),
    /// Runs the request to its end and then closes the connection without an answer.
    Lost,
}

/// Counters of a target over all its incarnations, and its current state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// Incarnations so far, the current one last.
    pub incarnations: Vec<Incarnation>,
    /// Number of times that each attempt started to run.
    pub runs_by_attempt: BTreeMap<AttemptId, u32>,
    /// Number of times that a prompt with this first line, or a call with this body, started to run.
    pub runs_by_key: BTreeMap<String, u32>,
    /// Number of times that such a prompt or call ran to its end.
    pub ended_by_key: BTreeMap<String, u32>,
    /// Number of refusals by reason.
    pub refusals: HashMap<RefusalReason, u64>,
    /// Number of cancel requests received.
    pub cancels: u64,
    /// Requests that were dropped because their caller disconnected.
    pub callers_gone: u64,
    /// Requests that were dropped because their deadline passed.
    pub expired: u64,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Requests running now.
    pub running: u32,
    /// Requests waiting now.
    pub waiting: u32,
    /// Reservations held now, including those of exports.
    pub reservations: u32,
    /// Tokens of memory in use, without the prefix cache, which can be evicted.
    pub memory_used_tokens: u64,
    /// Number of blocks in the prefix cache.
    pub cached_blocks: usize,
}

/// State that all fakes share.
#[derive(Debug)]
pub struct CommonState {
    pub incarnation: Incarnation,
    pub faults: Faults,
    pub cancelled: HashSet<AttemptId>,
    pub stats: TargetStats,
}

impl Default for CommonState {
    fn default() -> Self {
        let mut common = Self {
            incarnation: Incarnation(0),
            faults: Faults::default(),
            cancelled: HashSet::new(),
            stats: TargetStats::default(),
        };
        common.restart();
        common
    }
}

impl CommonState {
    /// Starts a new incarnation.
    pub fn restart(&mut self) {
        self.incarnation = Incarnation(fastrand::u128(..));
        self.stats.incarnations.push(self.incarnation);
        self.cancelled.clear();
    }

    /// Checks if a request may be accepted. Returns why it is refused otherwise.
    pub fn admit(
        &self,
        attempt: AttemptId,
        expect_incarnation: Incarnation,
        time_left_ms: u64,
    ) -> Result<(), RefusalReason> {
        if expect_incarnation != self.incarnation {
            Err(RefusalReason::OtherIncarnation)
        } else if self.faults.leaving {
            Err(RefusalReason::Leaving)
        } else if self.faults.full {
            Err(RefusalReason::Full)
        } else if self.cancelled.contains(&attempt) || time_left_ms == 0 {
            Err(RefusalReason::Expired)
        } else {
            Ok(())
        }
    }

    /// Counts a request that starts to run. Returns the fault of its answer.
    pub fn record_start(&mut self, attempt: AttemptId, key: &str) -> AnswerFault {
        *self.stats.runs_by_attempt.entry(attempt).or_default() += 1;
        *self.stats.runs_by_key.entry(key.to_owned()).or_default() += 1;
        match &mut self.faults.for_answers {
            Some(0) => return AnswerFault::None,
            Some(left) => *left -= 1,
            None => {}
        }
        self.faults.answer
    }

    /// Counts a request that ran to its end.
    pub fn record_end(&mut self, key: &str) {
        *self.stats.ended_by_key.entry(key.to_owned()).or_default() += 1;
    }

    pub fn has_crash_marker(&self, text: &str) -> bool {
        self.faults
            .crash_marker
            .as_ref()
            .is_some_and(|marker| text.contains(marker))
    }
}
