use {
    super::{PromptShape, lateness, value::LATE_LOSS, value_of},
    crate::{catalog::EngineSpec, engines::EngineLoad, mechanism::Mechanism},
    whinlatch_core::MonoMs,
};

/// Share of its value that an answer loses, on its way to being late, by what can't be foreseen:
/// a prompt that comes later and is read ahead, an engine that is slower than it was.
const RISK: f64 = 0.15;
/// Loss for each second until the first event, which decides between choices that are all on time.
const LOSS_PER_S: f64 = 0.05;

/// What is the same for all engines in a choice.
#[derive(Debug, Clone, Copy)]
pub struct Setting<'a> {
    /// The moment of the choice.
    pub now: MonoMs,
    /// What is published of the engines.
    pub spec: &'a EngineSpec,
    /// What is asked of them.
    pub shape: &'a PromptShape,
}

impl Setting<'_> {
    /// What the answer is worth on time.
    pub fn value(self) -> f64 {
        value_of(self.shape.prompt_tokens)
    }

    /// Share of its value by which what is likely to be in time counts as less than what is sure to be.
    pub fn risk(self) -> f64 {
        if self.shape.without.has(Mechanism::Risk) {
            RISK
        } else {
            0.0
        }
    }

    /// What the prompt loses by being late, or by its caller's leaving, if its first event comes in
    /// `finish_ms`.
    pub fn late_loss(self, finish_ms: f64) -> f64 {
        let late = lateness(finish_ms, self.shape.slack_ms);
        let gone = lateness(finish_ms, self.shape.patience_ms);
        self.value() * (LATE_LOSS * late + (1.0 - LATE_LOSS) * gone)
    }

    /// What the prompt itself loses if its first event comes in `finish_ms`.
    pub fn own_loss(self, finish_ms: f64) -> f64 {
        let risk = self.risk() * (finish_ms / self.shape.slack_ms.max(1.0)).min(1.0);
        self.late_loss(finish_ms) + self.value() * risk + finish_ms / 1_000.0 * LOSS_PER_S
    }

    /// What the prompt loses by an engine that failed others of late.
    ///
    /// Guards against an engine that says that it is well and fails what it gets: it is always idle, so
    /// that it would be the best place for each prompt in turn. Being a loss beside others it only moves
    /// prompts to better engines, and none is refused where all engines fail some.
    pub fn failed_loss(self, load: &EngineLoad) -> f64 {
        if !self.shape.without.has(Mechanism::Failures) {
            return 0.0;
        }
        self.value() * load.failures.at(self.now)
    }
}
