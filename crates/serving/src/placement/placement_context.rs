use {
    super::{PromptShape, lateness, value::LATE_LOSS, value_of},
    crate::{catalog::EngineSpec, engines::EngineLoad, mechanism::Mechanism},
    whinlatch_core::MonoMs,
};

/// Share of its value that an answer loses as its first event approaches the limit, for what the prediction
/// can't include: a later prompt that is read first, an engine that has become slower.
const RISK: f64 = 0.15;
/// Loss per second until the first event, which decides between choices that are all on time.
const LOSS_PER_S: f64 = 0.05;

/// Inputs of a choice that are the same for all engines.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// Time of the choice.
    pub now: MonoMs,
    /// Published timing and capacity of the engines.
    pub spec: &'a EngineSpec,
    /// Properties of the prompt.
    pub shape: &'a PromptShape,
}

impl PlacementContext<'_> {
    /// Returns the value of the answer if it is on time.
    pub fn value(self) -> f64 {
        value_of(self.shape.prompt_tokens)
    }

    /// Returns the share of its value by which an answer that is only likely to be on time is discounted.
    pub fn risk(self) -> f64 {
        if self.shape.mechanisms.is_enabled(Mechanism::Risk) {
            RISK
        } else {
            0.0
        }
    }

    /// Returns the expected loss by a late answer or a caller that has left, if the first event comes in
    /// `finish_ms`.
    pub fn late_loss(self, finish_ms: f64) -> f64 {
        let late = lateness(finish_ms, self.shape.slack_ms);
        let gone = lateness(finish_ms, self.shape.patience_ms);
        self.value() * (LATE_LOSS * late + (1.0 - LATE_LOSS) * gone)
    }

    /// Returns the prompt's own loss if its first event comes in `finish_ms`: lateness, risk and waiting.
    pub fn own_loss(self, finish_ms: f64) -> f64 {
        let risk = self.risk() * (finish_ms / self.shape.slack_ms.max(1.0)).min(1.0);
        self.late_loss(finish_ms) + self.value() * risk + finish_ms / 1_000.0 * LOSS_PER_S
    }

    /// Returns the expected loss by choosing an engine that recently failed other prompts.
    ///
    /// Guards against an engine that reports that it is healthy and fails what it gets: it is always idle and
    /// would be the best choice for each prompt in turn. As a loss compared with that of other engines it
    /// only moves prompts to better ones; none is refused where all engines fail some.
    pub fn failure_loss(self, load: &EngineLoad) -> f64 {
        if !self.shape.mechanisms.is_enabled(Mechanism::Failures) {
            return 0.0;
        }
        self.value() * load.failures.at(self.now)
    }
}
