use {
    super::{
        Candidate, Choice,
        answer_loss::{answer_loss, can_answer},
        engine_share::{EngineShare, SplitPart, combined_cost, engine_share},
        pause_loss::own_pause_loss,
        placement_context::PlacementContext,
    },
    crate::{fleet::ReservedMemory, mechanism::Mechanism},
};

/// Maximum weight of the affinity to an engine.
const AFFINITY_GAIN: f64 = 0.02;
/// Maximum additional weight of the affinity while little is known of what other instances place: three
/// times the loss for the first short stream on an engine, so that instances don't all pack their streams on
/// the one engine that they know streams of, and below what a short answer loses by being late.
const BLIND_AFFINITY_GAIN: f64 = 1.0;
/// Loss per helper: the prompt fails if any of its engines crashes.
const LOSS_PER_HELPER: f64 = 0.004;

/// A prompt split into `degree` equal parts, for which engines are chosen.
#[derive(Debug)]
pub struct PromptSplit<'a> {
    context: PlacementContext<'a>,
    candidates: &'a [Candidate<'a>],
    degree: usize,
    part: SplitPart,
}

impl<'a> PromptSplit<'a> {
    /// Splits a prompt among `degree` engines.
    pub fn new(
        context: PlacementContext<'a>,
        candidates: &'a [Candidate<'a>],
        degree: usize,
    ) -> Self {
        Self {
            context,
            candidates,
            degree,
            part: SplitPart::new(context, degree),
        }
    }

    /// Chooses the engines on which the prompt costs others least and is read soonest; `None` if too few can
    /// take a part.
    pub fn choose(&self) -> Option<Choice> {
        let first = self.best_answering()?;
        let helpers = self.best_helpers(&first)?;
        Some(self.evaluate(&first, &helpers))
    }

    /// Returns the share of the best engine to answer; `None` if no engine can.
    fn best_answering(&self) -> Option<EngineShare> {
        self.candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.can_take_part(candidate))
            .filter(|(_, candidate)| can_answer(self.context, candidate.load))
            .map(|(index, candidate)| self.answering_share(index, candidate))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_loss, first)| first)
    }

    fn can_take_part(&self, candidate: &Candidate<'_>) -> bool {
        self.degree == 1 || !candidate.is_limited
    }

    /// Returns the loss by which engines to answer are compared, and the engine's share.
    fn answering_share(&self, index: usize, candidate: &Candidate<'_>) -> (f64, EngineShare) {
        let Self { context, part, .. } = *self;
        let mut first = engine_share(context, candidate.load, index, part, part.is_prioritized);
        first.stream_loss += answer_loss(context, candidate.load);
        first.stream_loss += AFFINITY_GAIN * (1.0 - candidate.affinity);
        let pause_loss = own_pause_loss(context, candidate.load, part, first.finish_ms);
        // Kept out of the share: it costs others nothing and must not count towards a refusal.
        let affinity_loss = self.blind_gain() * (1.0 - candidate.affinity);
        let failure_loss = context.failure_loss(candidate.load);
        let own_loss = context.own_loss(first.finish_ms);
        let loss = first.cost_to_others() + pause_loss + affinity_loss + failure_loss + own_loss;
        (loss, first)
    }

    fn blind_gain(&self) -> f64 {
        if self.context.shape.is_blind {
            BLIND_AFFINITY_GAIN
        } else {
            0.0
        }
    }

    /// Returns the shares of the best helpers; `None` if there are too few, or too few with memory for the
    /// reservations.
    fn best_helpers(&self, first: &EngineShare) -> Option<Vec<EngineShare>> {
        let mut ranked = self.ranked_helpers(first);
        if ranked.len() + 1 < self.degree {
            return None;
        }
        ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
        ranked.truncate(self.degree - 1);
        let mut shares: Vec<EngineShare> = ranked.into_iter().map(|(_loss, share)| share).collect();
        let Some(reserved) = self.context.shape.reserved else {
            return Some(shares);
        };
        self.order_by_free_memory(reserved, &mut shares)
            .then_some(shares)
    }

    /// Returns the loss and the share of each engine that can help.
    fn ranked_helpers(&self, first: &EngineShare) -> Vec<(f64, EngineShare)> {
        let slots = self.context.spec.slots as usize;
        self.candidates
            .iter()
            .enumerate()
            .filter(|(index, candidate)| *index != first.index && candidate.load.helping < slots)
            .filter(|(_, candidate)| self.can_take_part(candidate))
            .map(|(index, candidate)| self.helper_share(index, candidate))
            .collect()
    }

    /// Returns the loss by which helpers are compared, and the engine's share.
    fn helper_share(&self, index: usize, candidate: &Candidate<'_>) -> (f64, EngineShare) {
        let Self { context, part, .. } = *self;
        let helper = engine_share(context, candidate.load, index, part, true);
        let failure_loss = context.failure_loss(candidate.load);
        let own_loss = context.own_loss(helper.finish_ms) / self.degree as f64;
        (helper.cost_to_others() + failure_loss + own_loss, helper)
    }

    /// Sorts helpers by free memory, the most first. Returns whether enough of them have memory for the
    /// reservations.
    fn order_by_free_memory(&self, reserved: ReservedMemory, shares: &mut [EngineShare]) -> bool {
        let used = |share: &EngineShare| self.candidates[share.index].load.used_tokens();
        shares.sort_by_key(used);
        shares
            .iter()
            .take(reserved.engines)
            .all(|share| used(share) + reserved.tokens <= self.context.spec.memory_tokens)
    }

    fn evaluate(&self, first: &EngineShare, helpers: &[EngineShare]) -> Choice {
        let shares: Vec<&EngineShare> = std::iter::once(first).chain(helpers).collect();
        let finish_ms = shares
            .iter()
            .map(|share| share.finish_ms)
            .fold(0.0, f64::max);
        let cost_to_others = self.cost_to_others(&shares);
        let load = self.candidates[first.index].load;
        let pause_loss = own_pause_loss(self.context, load, self.part, finish_ms);
        let own_loss = self.context.own_loss(finish_ms);
        Choice {
            engines: shares.iter().map(|share| share.index).collect(),
            is_prioritized: self.part.is_prioritized,
            first_event_ms: finish_ms,
            loss: own_loss + cost_to_others + pause_loss + helpers.len() as f64 * LOSS_PER_HELPER,
            gain: self.context.value() - self.context.late_loss(finish_ms) - pause_loss,
            cost_to_others,
        }
    }

    fn cost_to_others(&self, shares: &[&EngineShare]) -> f64 {
        if self.context.shape.mechanisms.is_enabled(Mechanism::Delays) {
            return combined_cost(shares);
        }
        shares.iter().map(|share| share.stream_loss).sum()
    }
}
