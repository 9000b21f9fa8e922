use {
    crate::target::Die,
    serde::{Deserialize, Serialize},
};

/// What goes wrong from now on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Stops in time until this is unset: accepts, computes nothing and says nothing.
    pub frozen: bool,
    /// Computes this many times slower.
    pub slow_factor: f64,
    /// Dies when it begins a prompt with this text in it.
    pub crash_marker: Option<String>,
    /// What follows such a death.
    pub crash: Die,
    /// Refuses with `leaving` and says so in its report.
    pub leaving: bool,
    /// Orders reach it this late, also when the sender has gone meanwhile.
    pub order_delay_ms: u64,
    /// What goes wrong with answers that begin from now on.
    pub answer: AnswerFault,
    /// How many answers are hit; all if absent.
    pub for_answers: Option<u32>,
}

/// What goes wrong with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// A chunk of another attempt comes first.
    Crossed,
    /// The connection breaks after so many chunks.
    BreakAfter(u64),
    /// Nothing more comes after so many chunks; the connection stays.
    SilentAfter(u64),
    /// The prompt runs to its end, then the connection closes without an answer.
    Lost,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            frozen: false,
            slow_factor: 1.0,
            crash_marker: None,
            crash: Die::default(),
            leaving: false,
            order_delay_ms: 0,
            answer: AnswerFault::None,
            for_answers: None,
        }
    }
}

impl EngineFaults {
    pub(super) fn crashes(&self, prompt: &str) -> bool {
        self.crash_marker
            .as_ref()
            .is_some_and(|marker| prompt.contains(marker))
    }

    /// The fault of the answer that begins now.
    pub(super) fn take_answer_fault(&mut self) -> AnswerFault {
        match &mut self.for_answers {
            None => self.answer,
            Some(0) => AnswerFault::None,
            Some(left) => {
                *left -= 1;
                self.answer
            }
        }
    }
}
