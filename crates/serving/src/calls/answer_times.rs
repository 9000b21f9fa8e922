use whinlatch_core::MonoMs;

/// Number of buckets of a histogram of answer times.
pub const BUCKETS: usize = 16;
/// Upper bound of the first bucket, in ms: less than a network round trip to a target and back.
const FIRST_BOUND_MS: f64 = 5.0;
/// Ratio between the upper bounds of two buckets.
const BOUND_RATIO: f64 = 1.5;
/// Time in which the weight of an answer halves, in ms: some ten answers of a service that each instance calls
/// once in a second, and short enough to follow targets that are replaced.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Weight of answers below which no quantile is given: fewer say nothing of the slow ones.
const MIN_WEIGHT: f64 = 8.0;

/// Histogram of the times in which targets answered, in which old answers fade.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    weights: [f64; BUCKETS],
    updated_at: MonoMs,
}

impl AnswerTimes {
    /// Returns the bucket that counts an answer that took `took_ms`. The last one has no upper bound.
    pub fn bucket_of(took_ms: f64) -> usize {
        let above_first = (took_ms / FIRST_BOUND_MS).max(1.0);
        let bucket = above_first.ln() / BOUND_RATIO.ln();
        (bucket.ceil() as usize).min(BUCKETS - 1)
    }

    /// Counts one answer.
    pub fn record(&mut self, now: MonoMs, took_ms: f64) {
        self.add(now, Self::bucket_of(took_ms), 1.0);
    }

    /// Counts `answers` answers of a bucket; a number beyond the last bucket counts for the last one.
    pub fn add(&mut self, now: MonoMs, bucket: usize, answers: f64) {
        let decay = self.decay(now);
        for weight in &mut self.weights {
            *weight *= decay;
        }
        self.updated_at = now;
        self.weights[bucket.min(BUCKETS - 1)] += answers;
    }

    /// Returns the weight of all answers, 1 for one that was counted just now.
    pub fn weight(&self, now: MonoMs) -> f64 {
        self.weights.iter().sum::<f64>() * self.decay(now)
    }

    /// Returns the upper bound of the time in which the share `quantile` of the answers came, in ms; `None` if too
    /// few are known. For the last bucket, which has none, it is the lower bound.
    pub fn quantile_ms(&self, now: MonoMs, quantile: f64) -> Option<f64> {
        let all: f64 = self.weights.iter().sum();
        if all * self.decay(now) < MIN_WEIGHT {
            return None;
        }
        let mut below = 0.0;
        let mut bound_ms = FIRST_BOUND_MS;
        for weight in &self.weights[..BUCKETS - 1] {
            below += weight;
            if below >= quantile * all {
                return Some(bound_ms);
            }
            bound_ms *= BOUND_RATIO;
        }
        Some(bound_ms / BOUND_RATIO)
    }

    /// Returns the median of the answer times, interpolated within its bucket, in ms; `None` as for
    /// [`Self::quantile_ms`].
    ///
    /// Two targets whose medians lie on both sides of a bound would otherwise seem to differ by a bucket's width.
    pub fn median_ms(&self, now: MonoMs) -> Option<f64> {
        let bound_ms = self.quantile_ms(now, 0.5)?;
        let bucket = Self::bucket_of(bound_ms * BOUND_RATIO.sqrt().recip());
        let half = 0.5 * self.weights.iter().sum::<f64>();
        let below: f64 = self.weights[..bucket].iter().sum();
        let position = (half - below) / self.weights[bucket];
        Some(bound_ms * BOUND_RATIO.powf(position.min(1.0) - 1.0))
    }

    /// Returns the middle of a bucket, in ms.
    pub fn bucket_ms(bucket: usize) -> f64 {
        FIRST_BOUND_MS * BOUND_RATIO.powf(bucket.min(BUCKETS - 1) as f64 - 0.5)
    }

    /// Adds the answers of another histogram, as they count now.
    pub fn merge(&mut self, now: MonoMs, other: &Self) {
        let (decay, other_decay) = (self.decay(now), other.decay(now));
        for (weight, other_weight) in self.weights.iter_mut().zip(other.weights) {
            *weight = *weight * decay + other_weight * other_decay;
        }
        self.updated_at = now;
    }

    fn decay(&self, now: MonoMs) -> f64 {
        0.5_f64.powf(now.since(self.updated_at) as f64 / HALF_LIFE_MS)
    }
}
