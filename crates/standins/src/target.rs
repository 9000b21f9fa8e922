//! What goes wrong with fakes, and what is counted of the work of targets.

use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap, HashSet},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::RefusalReason,
    },
};

/// Drops all connections and refuses new ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Die {
    /// When a new incarnation starts on the same address; never if absent.
    pub back_after_ms: Option<u64>,
}

/// What goes wrong from now on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Stops in time until this is unset: accepts, does nothing and says nothing.
    pub frozen: bool,
    /// Refuses work with `full`.
    pub full: bool,
    /// Refuses work with `leaving` and says so in its report.
    pub leaving: bool,
    /// Works this many times slower.
    pub slow_factor: Option<f64>,
    /// Dies by a prompt or call with this text in it: an engine when it begins to run, a service
    /// when it has run.
    pub crash_marker: Option<String>,
    /// What follows such a death.
    pub crash: Die,
    /// Orders reach it this late, also when the sender has gone meanwhile.
    pub order_delay_ms: u64,
    /// What goes wrong with answers that begin from now on.
    pub answer: AnswerFault,
    /// How many answers are hit; all if absent.
    pub for_answers: Option<u32>,
}

/// What goes wrong with an answer. A service sends it in one chunk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// It carries the id of another attempt, at an engine in a chunk before its own.
    Crossed,
    /// The connection breaks after so many chunks.
    BreakAfter(u64),
    /// Nothing more comes after so many chunks; the connection stays.
    SilentAfter(u64),
    /// The work runs to its end, then the connection closes without an answer.
    Lost,
}

/// What a target did so far, over all its incarnations, and what it holds now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// The runs so far, the present one last.
    pub incarnations: Vec<Incarnation>,
    /// How many times each attempt began to run.
    pub runs_by_attempt: BTreeMap<AttemptId, u32>,
    /// How many times a prompt with this first line, or a call with this body, began to run.
    pub runs_by_key: BTreeMap<String, u32>,
    /// How many times one of them ran to its end.
    pub ended_by_key: BTreeMap<String, u32>,
    /// Refusals by reason.
    pub refusals: HashMap<RefusalReason, u64>,
    /// Cancels received.
    pub cancels: u64,
    /// Requests that were dropped because their caller was gone.
    pub callers_gone: u64,
    /// Requests that were dropped because their time was over.
    pub expired: u64,
    /// Prompt tokens read.
    pub prefilled_tokens: u64,
    /// Prompt tokens that the prefix cache saved.
    pub cached_tokens: u64,
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Reservations and exports that are held now.
    pub reservations: u32,
    /// Tokens of memory in use that can't yield.
    pub memory_used_tokens: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
}

/// What all fakes know.
#[derive(Debug)]
pub struct Common {
    pub incarnation: Incarnation,
    pub faults: Faults,
    pub cancelled: HashSet<AttemptId>,
    pub counted: TargetStats,
}

impl Default for Common {
    fn default() -> Self {
        let mut common = Self {
            incarnation: Incarnation(0),
            faults: Faults::default(),
            cancelled: HashSet::new(),
            counted: TargetStats::default(),
        };
        common.restart();
        common
    }
}

impl Common {
    /// Begins a new incarnation.
    pub fn restart(&mut self) {
        self.incarnation = Incarnation(fastrand::u128(..));
        self.counted.incarnations.push(self.incarnation);
        self.cancelled.clear();
    }

    /// Tells whether work may be taken on.
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

    /// Counts work that begins to run; gives what goes wrong with its answer.
    pub fn begin(&mut self, attempt: AttemptId, key: &str) -> AnswerFault {
        *self.counted.runs_by_attempt.entry(attempt).or_default() += 1;
        *self.counted.runs_by_key.entry(key.to_owned()).or_default() += 1;
        match &mut self.faults.for_answers {
            Some(0) => return AnswerFault::None,
            Some(left) => *left -= 1,
            None => {}
        }
        self.faults.answer
    }

    /// Counts work that ran to its end.
    pub fn end(&mut self, key: &str) {
        *self.counted.ended_by_key.entry(key.to_owned()).or_default() += 1;
    }

    pub fn crashes(&self, text: &str) -> bool {
        self.faults
            .crash_marker
            .as_ref()
            .is_some_and(|marker| text.contains(marker))
    }
}
