use {
    super::{
        Candidate, Choice,
        answering::{answer_loss, can_answer},
        pauses::own_pause_loss,
        setting::Setting,
        share::{OwnPart, Share, harm_of, share},
    },
    crate::{fleet::ReservedMemory, mechanism::Mechanism},
};

/// Most that liking an engine counts for.
const LIKING_GAIN: f64 = 0.02;
/// The same while little is known of what others place: three times the loss that is charged for
/// opening an engine, so that instances don't all pack their streams on the one engine of which they
/// have heard, and below what a short answer loses by being late.
const BLIND_LIKING_GAIN: f64 = 1.0;
/// Loss for each helper: another engine's death ends the prompt.
const LOSS_PER_HELPER: f64 = 0.004;

/// A prompt divided into so many parts, for which engines are chosen.
#[derive(Debug)]
pub struct Division<'a> {
    setting: Setting<'a>,
    candidates: &'a [Candidate<'a>],
    degree: usize,
    part: OwnPart,
}

impl<'a> Division<'a> {
    /// A division among `degree` engines.
    pub fn new(setting: Setting<'a>, candidates: &'a [Candidate<'a>], degree: usize) -> Self {
        Self {
            setting,
            candidates,
            degree,
            part: OwnPart::new(setting, degree),
        }
    }

    /// The engines on which the prompt does least harm and is read soonest; `None` if too few can
    /// take part.
    pub fn choice(&self) -> Option<Choice> {
        let first = self.best_first()?;
        let helpers = self.best_helpers(&first)?;
        Some(self.weigh(&first, &helpers))
    }

    /// The engine that answers.
    fn best_first(&self) -> Option<Share> {
        self.candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.may_take_part(candidate))
            .filter(|(_, candidate)| can_answer(self.setting, candidate.load))
            .map(|(place, candidate)| self.as_first(place, candidate))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_loss, first)| first)
    }

    fn may_take_part(&self, candidate: &Candidate<'_>) -> bool {
        self.degree == 1 || !candidate.is_limited
    }

    /// What is lost if an engine answers, and its share.
    fn as_first(&self, place: usize, candidate: &Candidate<'_>) -> (f64, Share) {
        let Self { setting, part, .. } = *self;
        let mut first = share(setting, candidate.load, place, part, part.goes_first);
        first.paused += answer_loss(setting, candidate.load);
        first.paused += LIKING_GAIN * (1.0 - candidate.liking);
        let paused = own_pause_loss(setting, candidate.load, part, first.finish_ms);
        // Not being liked harms nobody, and is no reason to refuse.
        let disliked = self.blind_gain() * (1.0 - candidate.liking);
        let failed = setting.failed_loss(candidate.load);
        let own = setting.own_loss(first.finish_ms);
        (first.harm() + paused + disliked + failed + own, first)
    }

    fn blind_gain(&self) -> f64 {
        if self.setting.shape.is_blind {
            BLIND_LIKING_GAIN
        } else {
            0.0
        }
    }

    /// The engines that help; `None` if there are too few.
    fn best_helpers(&self, first: &Share) -> Option<Vec<Share>> {
        let mut ranked = self.ranked_helpers(first);
        if ranked.len() + 1 < self.degree {
            return None;
        }
        ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
        ranked.truncate(self.degree - 1);
        let mut shares: Vec<Share> = ranked.into_iter().map(|(_loss, share)| share).collect();
        let Some(reserved) = self.setting.shape.reserved else {
            return Some(shares);
        };
        self.put_holders_first(reserved, &mut shares)
            .then_some(shares)
    }

    /// Those that may help, and what is lost by each.
    fn ranked_helpers(&self, first: &Share) -> Vec<(f64, Share)> {
        let slots = self.setting.spec.slots as usize;
        self.candidates
            .iter()
            .enumerate()
            .filter(|(place, candidate)| *place != first.place && candidate.load.helping < slots)
            .filter(|(_, candidate)| self.may_take_part(candidate))
            .map(|(place, candidate)| self.as_helper(place, candidate))
            .collect()
    }

    /// What is lost if an engine helps, and its share.
    fn as_helper(&self, place: usize, candidate: &Candidate<'_>) -> (f64, Share) {
        let Self { setting, part, .. } = *self;
        let helper = share(setting, candidate.load, place, part, true);
        let failed = setting.failed_loss(candidate.load);
        let own = setting.own_loss(helper.finish_ms) / self.degree as f64;
        (helper.harm() + failed + own, helper)
    }

    /// Puts those with the most free memory first. Returns whether enough of them have room for what
    /// is to be set aside.
    fn put_holders_first(&self, reserved: ReservedMemory, shares: &mut [Share]) -> bool {
        let used = |share: &Share| self.candidates[share.place].load.memory_tokens;
        shares.sort_by_key(used);
        shares
            .iter()
            .take(reserved.engines)
            .all(|share| used(share) + reserved.tokens <= self.setting.spec.memory_tokens)
    }

    fn weigh(&self, first: &Share, helpers: &[Share]) -> Choice {
        let parts: Vec<&Share> = std::iter::once(first).chain(helpers).collect();
        let finish_ms = parts.iter().map(|part| part.finish_ms).fold(0.0, f64::max);
        let harm = self.harm_of(&parts);
        let load = self.candidates[first.place].load;
        let paused = own_pause_loss(self.setting, load, self.part, finish_ms);
        let own = self.setting.own_loss(finish_ms);
        Choice {
            engines: parts.iter().map(|part| part.place).collect(),
            goes_first: self.part.goes_first,
            first_event_ms: finish_ms,
            loss: own + harm + paused + helpers.len() as f64 * LOSS_PER_HELPER,
            gain: self.setting.value() - self.setting.late_loss(finish_ms) - paused,
            harm,
        }
    }

    fn harm_of(&self, parts: &[&Share]) -> f64 {
        if self.setting.shape.without.has(Mechanism::Delays) {
            return harm_of(parts);
        }
        parts.iter().map(|share| share.paused).sum()
    }
}
