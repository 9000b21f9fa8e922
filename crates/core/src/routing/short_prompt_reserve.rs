use {crate::time::MonoMs, whinlatch_wire::record::PolicyRecord};

/// Time constant of the moving average of light and medium work, in ms.
const AVERAGE_MS: f64 = 20_000.0;
/// Time in which a past peak decays by about two thirds, in ms. Longer than the time between two
/// bursts, so that capacity for a burst is available when it begins.
const PEAK_DECAY_MS: f64 = 600_000.0;
/// Ratio of the engine time of a prompt and its answer to the prompt's prefill time.
const ANSWER_FACTOR: f64 = 1.2;
/// Maximum average utilization of the reserved targets if the policy only weighs the first token of
/// long prompts.
const MAX_UTILIZATION_LONG: f64 = 0.9;
/// Maximum average utilization of the reserved targets if the policy only weighs the slowdown of short
/// requests.
const MAX_UTILIZATION_SHORT: f64 = 0.7;

/// Disables the reserve: no target is kept free of long prompts.
const DISABLED: bool = true;

/// Computes how many targets are kept free of long prompts: enough for the recent light and medium
/// prompts, with more spare capacity the more the policy weighs the slowdown of short requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortPromptReserve {
    updated_at: MonoMs,
    /// Moving average of the engines that this daemon's light and medium prompts keep busy.
    rate: f64,
    /// Highest average so far, decayed since.
    peak: f64,
}

impl ShortPromptReserve {
    /// Records a light or medium prompt sent by this daemon with a prefill time of `read_ms`.
    pub fn record(&mut self, now: MonoMs, read_ms: f64) {
        let passed_ms = now.since(self.updated_at) as f64;
        self.updated_at = now;
        let before = self.rate * (-passed_ms / AVERAGE_MS).exp();
        self.rate = before + read_ms * ANSWER_FACTOR / AVERAGE_MS;
        self.peak = (self.peak * (-passed_ms / PEAK_DECAY_MS).exp()).max(self.rate);
    }

    /// Returns how many of `usable` targets to keep free of long prompts. Assumes that `daemons` send
    /// as much as this one, and that `fraction` of it goes to these targets.
    pub fn targets(
        &self,
        policy: &PolicyRecord,
        usable: usize,
        daemons: usize,
        fraction: f64,
    ) -> usize {
        let short = policy.short_slowdown_weight - policy.long_first_token_weight;
        if short <= 0.0 || DISABLED {
            return 0;
        }
        let utilization =
            MAX_UTILIZATION_LONG + (MAX_UTILIZATION_SHORT - MAX_UTILIZATION_LONG) * short;
        let demand = (self.rate + (self.peak - self.rate) * short) * daemons as f64 * fraction;
        let wanted = (demand / utilization).ceil() as usize;
        wanted.min(usable.saturating_sub(1))
    }
}
