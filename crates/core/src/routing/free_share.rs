use {crate::time::MonoMs, whinlatch_wire::record::PolicyRecord};

/// Time over which light work is averaged, in ms.
const AVERAGE_MS: f64 = 5_000.0;
/// Time in which a past peak loses about two thirds of its say, in ms: longer than the time from one
/// burst to the next, so that the room for a burst is there when it begins.
const PEAK_FADES_MS: f64 = 600_000.0;

const FACTOR: f64 = 0.0;

/// How many targets are kept free of heavy prompts: enough for the peaks of light work of late, and
/// the more the policy's weight on the slowdown of short requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreeShare {
    noted: MonoMs,
    rate: f64,
    peak: f64,
}

impl FreeShare {
    /// Notes light work sent from here, in ms of a target's time.
    pub fn note(&mut self, now: MonoMs, work_ms: f64) {
        let passed_ms = now.since(self.noted) as f64;
        self.noted = now;
        self.rate = self.rate * (-passed_ms / AVERAGE_MS).exp() + work_ms / AVERAGE_MS;
        self.peak = (self.peak * (-passed_ms / PEAK_FADES_MS).exp()).max(self.rate);
    }

    /// Targets of `usable` that are to be kept free, where `daemons` send as this one does and
    /// `part` of it goes to them.
    pub fn targets(
        &self,
        policy: &PolicyRecord,
        usable: usize,
        daemons: usize,
        part: f64,
    ) -> usize {
        let weights = policy.long_first_token_weight + policy.short_slowdown_weight;
        let short = policy.short_slowdown_weight / weights.max(f64::MIN_POSITIVE);
        let demand = self.peak * daemons as f64 * part;
        let wanted = demand * FACTOR * short;
        (wanted.ceil() as usize).min(usable.saturating_sub(1))
    }
}
