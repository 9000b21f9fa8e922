/// Prefill cost model of an engine: linear time per token, plus attention time for each pair of a
/// token and one before it. The second part is why a million tokens cost far more than a thousand
/// prompts of a thousand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillCost {
    /// Time per token, in ms.
    pub token_ms: f64,
    /// Attention time per pair of tokens, in ms.
    pub pair_ms: f64,
}

impl PrefillCost {
    /// Returns the time to prefill `tokens` tokens that follow `before` earlier ones, in ms. In a
    /// group each of the `engines` computes the attention to its own part of the prompt.
    pub fn read_ms(&self, before: u64, tokens: u64, engines: usize) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * (before as f64 + tokens / 2.0);
        tokens * self.token_ms + pairs * self.pair_ms / engines as f64
    }
}

/// A measured prefill, from which the cost model learns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSample {
    /// Prompt length, in tokens.
    pub tokens: u64,
    /// Number of engines that prefilled it together.
    pub engines: usize,
    /// Time from sending to the first token, in ms.
    pub took_ms: f64,
}

/// Factor by which older samples lose weight with each new one.
const SAMPLE_DECAY: f64 = 0.98;
/// Total weight of the fleet's samples in a target's own fit, in samples of the target.
const FLEET_WEIGHT_SAMPLES: f64 = 4.0;
/// Weight of the rate that the target's record states, in samples.
const RECORD_WEIGHT_SAMPLES: f64 = 1.0;
/// Weight of the prior for the attention part, in samples. It is low, since no record states this
/// part.
const ATTENTION_PRIOR_SAMPLES: f64 = 0.05;
/// Prompt length, in ms at the stated rate, at which the prior assumes attention to take as long as
/// the linear part.
const ATTENTION_PRIOR_MS: f64 = 10_000.0;

/// Weighted least squares fit of [`PrefillCost`]. Each sample is weighted by its length, so that
/// the time per token counts the same for short and long prompts and for fast and slow targets.
///
/// Lengths are in ms at the rate that the target's record states, which makes samples of different
/// targets comparable.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostRegression {
    weight: f64,
    linear_2: f64,
    linear_square: f64,
    square_2: f64,
    linear_took: f64,
    square_took: f64,
}

impl CostRegression {
    /// Returns the prior: the stated rate, and a guess at the attention part.
    pub fn prior() -> Self {
        let mut sums = Self::default();
        sums.add(1.0, 0.0, 1.0, RECORD_WEIGHT_SAMPLES);
        let square = ATTENTION_PRIOR_MS * ATTENTION_PRIOR_MS / 2.0;
        let weight = ATTENTION_PRIOR_SAMPLES / (ATTENTION_PRIOR_MS * ATTENTION_PRIOR_MS);
        sums.add(0.0, square, ATTENTION_PRIOR_MS, weight);
        sums
    }

    /// Adds a sample of a target whose record states `tokens_per_s`.
    pub fn add_sample(&mut self, sample: &PrefillSample, tokens_per_s: u64) {
        let linear = sample.tokens as f64 * stated_token_ms(tokens_per_s);
        let square = linear * linear / 2.0 / sample.engines as f64;
        self.decay();
        self.add(
            linear,
            square,
            sample.took_ms.max(1.0),
            1.0 / (linear * linear),
        );
    }

    fn decay(&mut self) {
        let decay = |sum: &mut f64| *sum *= SAMPLE_DECAY;
        decay(&mut self.weight);
        decay(&mut self.linear_2);
        decay(&mut self.linear_square);
        decay(&mut self.square_2);
        decay(&mut self.linear_took);
        decay(&mut self.square_took);
    }

    fn add(&mut self, linear: f64, square: f64, took_ms: f64, sample_weight: f64) {
        self.weight += 1.0;
        self.linear_2 += sample_weight * linear * linear;
        self.linear_square += sample_weight * linear * square;
        self.square_2 += sample_weight * square * square;
        self.linear_took += sample_weight * linear * took_ms;
        self.square_took += sample_weight * square * took_ms;
    }

    /// Returns these sums plus the fleet's, scaled down to [`FLEET_WEIGHT_SAMPLES`].
    fn with_fleet(&self, fleet: &Self) -> Self {
        let scale = FLEET_WEIGHT_SAMPLES.min(fleet.weight) / fleet.weight.max(f64::MIN_POSITIVE);
        Self {
            weight: self.weight + fleet.weight * scale,
            linear_2: self.linear_2 + fleet.linear_2 * scale,
            linear_square: self.linear_square + fleet.linear_square * scale,
            square_2: self.square_2 + fleet.square_2 * scale,
            linear_took: self.linear_took + fleet.linear_took * scale,
            square_took: self.square_took + fleet.square_took * scale,
        }
    }

    /// Returns the cost that fits these samples and the fleet's best.
    pub fn cost(&self, fleet: &Self, tokens_per_s: u64) -> PrefillCost {
        let sums = self.with_fleet(fleet);
        let det = sums.linear_2 * sums.square_2 - sums.linear_square * sums.linear_square;
        let linear =
            (sums.linear_took * sums.square_2 - sums.square_took * sums.linear_square) / det;
        let square =
            (sums.square_took * sums.linear_2 - sums.linear_took * sums.linear_square) / det;
        // Neither part can be negative; if the fit makes one so, the other part explains all
        // samples.
        let (linear, square) = if !linear.is_finite() || linear <= 0.0 {
            (sums.linear_took / sums.linear_2.max(f64::MIN_POSITIVE), 0.0)
        } else if square < 0.0 {
            (sums.linear_took / sums.linear_2, 0.0)
        } else {
            (linear, square)
        };
        let token_ms = stated_token_ms(tokens_per_s);
        PrefillCost {
            token_ms: linear * token_ms,
            pair_ms: square * token_ms * token_ms,
        }
    }
}

fn stated_token_ms(tokens_per_s: u64) -> f64 {
    1_000.0 / tokens_per_s.max(1) as f64
}
