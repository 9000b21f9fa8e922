use {crate::time::MonoMs, whinlatch_wire::record::PolicyRecord};

/// Time over which the work of light and medium prompts is averaged, in ms.
const AVERAGE_MS: f64 = 20_000.0;
/// Time in which a past peak loses about two thirds of its say, in ms: longer than the time from one
/// burst to the next, so that the room for a burst is there when it begins.
const PEAK_FADES_MS: f64 = 600_000.0;
/// Engine time of a prompt and its answer over the time to read the prompt.
const WITH_ANSWER: f64 = 1.2;
/// How busy the targets that are kept free of long prompts may be on average where only the first
/// token of long prompts counts.
const BUSY_LONG: f64 = 0.9;
/// The same where only the slowdown of short requests counts.
const BUSY_SHORT: f64 = 0.7;

const OFF: bool = true;
/// How many targets are kept free of long prompts: enough for the light and medium ones of late, with
/// the more to spare the more the policy's weight on the slowdown of short requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreeShare {
    noted: MonoMs,
    rate: f64,
    peak: f64,
}

impl FreeShare {
    /// Notes light or medium work sent from here, in ms to read it.
    pub fn note(&mut self, now: MonoMs, read_ms: f64) {
        let passed_ms = now.since(self.noted) as f64;
        self.noted = now;
        let before = self.rate * (-passed_ms / AVERAGE_MS).exp();
        self.rate = before + read_ms * WITH_ANSWER / AVERAGE_MS;
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
        let short = policy.short_slowdown_weight - policy.long_first_token_weight;
        if short <= 0.0 || OFF {
            return 0;
        }
        let busy = BUSY_LONG + (BUSY_SHORT - BUSY_LONG) * short;
        let demand = (self.rate + (self.peak - self.rate) * short) * daemons as f64 * part;
        let wanted = (demand / busy).ceil() as usize;
        wanted.min(usable.saturating_sub(1))
    }
}
