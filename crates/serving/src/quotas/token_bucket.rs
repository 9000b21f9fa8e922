use whinlatch_core::MonoMs;

/// Tokens that gather at most while nobody takes any.
const MOST_TOKENS: f64 = 2.0;
/// Time after which a debt is paid off, however large, in s: a target counts over this time what it gets.
const DEBT_S: f64 = 4.0;
/// Longest time after which it is worth asking again, in ms: a limit may be raised or lifted meanwhile.
const MOST_WAIT_MS: f64 = 1_000.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Grants requests at a rate.
///
/// It begins empty: an instance that grants in place of another doesn't know what that one granted a moment ago.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: MonoMs,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(now: MonoMs) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Takes a token of a bucket that fills with `per_s` tokens a second.
    ///
    /// # Errors
    /// There is none; the time to the next one, in ms.
    pub fn take(&mut self, now: MonoMs, per_s: f64) -> Result<(), u64> {
        self.fill(now, per_s);
        if self.tokens < 1.0 {
            let wait_ms = (1.0 - self.tokens) / per_s * MS_PER_S;
            return Err(wait_ms.min(MOST_WAIT_MS).ceil() as u64);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Notes a request that is sent in any case.
    pub fn charge(&mut self, now: MonoMs, per_s: f64) {
        self.fill(now, per_s);
        self.tokens = (self.tokens - 1.0).max(-DEBT_S * per_s);
    }

    /// Time since a token was last taken or asked for, in ms.
    pub fn rested_ms(&self, now: MonoMs) -> u64 {
        now.since(self.filled_at)
    }

    fn fill(&mut self, now: MonoMs, per_s: f64) {
        let passed_s = now.since(self.filled_at) as f64 / MS_PER_S;
        self.tokens = (self.tokens + passed_s * per_s).min(MOST_TOKENS);
        self.filled_at = now;
    }
}
