/// Time to read a prompt at an engine: each token takes its time, and so does its attention to each
/// token before it, which makes a million tokens far worse than a thousand times a thousand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillCost {
    /// Time for a token, in ms.
    pub token_ms: f64,
    /// Time for a token's attention to one before it, in ms.
    pub pair_ms: f64,
}

impl PrefillCost {
    /// Time to read `tokens` after `before` others, in ms. In a group each of the `engines` does
    /// the attention to the part that it holds.
    pub fn read_ms(&self, before: u64, tokens: u64, engines: usize) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * (before as f64 + tokens / 2.0);
        tokens * self.token_ms + pairs * self.pair_ms / engines as f64
    }
}

/// A prompt that was read, and how long it took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadSample {
    /// Its tokens.
    pub tokens: u64,
    /// Engines that read it.
    pub engines: usize,
    /// How long it took, in ms.
    pub took_ms: f64,
}

/// Part of what was learnt that is kept with each further sample.
const KEEP: f64 = 0.98;
/// Samples of its own against which the other targets' count as much.
const FLEET_SAMPLES: f64 = 4.0;
/// Weight of the record's word on the rate, in samples.
const STATED_SAMPLES: f64 = 1.0;
/// Weight of the first guess at the attention's part, in samples: little, since nobody states it.
const GUESS_SAMPLES: f64 = 0.05;
/// Length of a prompt whose attention is guessed to take as long as the rest, in ms at the stated
/// rate.
const GUESS_EVEN_MS: f64 = 10_000.0;

/// Least squares over samples, each weighted by its length, so that the time for a token counts the
/// same whether it was seen on a short or a long prompt, on a fast target or a slow one.
///
/// Lengths are in ms at the rate that the target's record states, so that samples of unlike targets
/// can be put together.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostSums {
    weight: f64,
    linear_2: f64,
    linear_square: f64,
    square_2: f64,
    linear_took: f64,
    square_took: f64,
}

impl CostSums {
    /// What is taken to hold before anything was learnt.
    pub fn stated() -> Self {
        let mut sums = Self::default();
        sums.add(1.0, 0.0, 1.0, STATED_SAMPLES);
        let square = GUESS_EVEN_MS * GUESS_EVEN_MS / 2.0;
        let by = GUESS_SAMPLES / (GUESS_EVEN_MS * GUESS_EVEN_MS);
        sums.add(0.0, square, GUESS_EVEN_MS, by);
        sums
    }

    /// Takes in a sample of a target whose record states `tokens_per_s`.
    pub fn learn(&mut self, sample: &ReadSample, tokens_per_s: u64) {
        let linear = sample.tokens as f64 * stated_token_ms(tokens_per_s);
        let square = linear * linear / 2.0 / sample.engines as f64;
        self.fade();
        self.add(
            linear,
            square,
            sample.took_ms.max(1.0),
            1.0 / (linear * linear),
        );
    }

    fn fade(&mut self) {
        let keep = |sum: &mut f64| *sum *= KEEP;
        keep(&mut self.weight);
        keep(&mut self.linear_2);
        keep(&mut self.linear_square);
        keep(&mut self.square_2);
        keep(&mut self.linear_took);
        keep(&mut self.square_took);
    }

    fn add(&mut self, linear: f64, square: f64, took: f64, by: f64) {
        self.weight += 1.0;
        self.linear_2 += by * linear * linear;
        self.linear_square += by * linear * square;
        self.square_2 += by * square * square;
        self.linear_took += by * linear * took;
        self.square_took += by * square * took;
    }

    /// These sums with those of the whole fleet, scaled down to a few samples.
    fn with_fleet(&self, fleet: &Self) -> Self {
        let part = FLEET_SAMPLES.min(fleet.weight) / fleet.weight.max(f64::MIN_POSITIVE);
        Self {
            weight: self.weight + fleet.weight * part,
            linear_2: self.linear_2 + fleet.linear_2 * part,
            linear_square: self.linear_square + fleet.linear_square * part,
            square_2: self.square_2 + fleet.square_2 * part,
            linear_took: self.linear_took + fleet.linear_took * part,
            square_took: self.square_took + fleet.square_took * part,
        }
    }

    /// The cost that fits these samples and the fleet's best.
    pub fn cost(&self, fleet: &Self, tokens_per_s: u64) -> PrefillCost {
        let sums = self.with_fleet(fleet);
        let det = sums.linear_2 * sums.square_2 - sums.linear_square * sums.linear_square;
        let linear =
            (sums.linear_took * sums.square_2 - sums.square_took * sums.linear_square) / det;
        let square =
            (sums.square_took * sums.linear_2 - sums.linear_took * sums.linear_square) / det;
        // Neither part is ever negative; if the fit says so, the other one explains it all.
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
