use whinlatch_core::MonoMs;

/// Time after which any debt is paid off, in s: a target counts its requests over this time.
const MAX_DEBT_S: f64 = 4.0;
/// Maximum time until the next permit request, in ms: the limit may be raised or lifted meanwhile.
const MAX_WAIT_MS: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Token bucket that grants requests at a rate.
///
/// It starts empty: an instance that takes over from another holder doesn't know what that one has just
/// granted.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: MonoMs,
}

impl TokenBucket {
    /// Capacity of a bucket, in tokens: the largest burst after a time without requests.
    pub const MAX_TOKENS: f64 = 2.0;

    /// Returns an empty bucket.
    pub fn new(now: MonoMs) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a token from the bucket, which is refilled at `rate_per_s` tokens a second.
    ///
    /// # Errors
    /// Returns the time until the next token, in ms, if there is none now.
    pub fn take(&mut self, now: MonoMs, rate_per_s: f64) -> Result<(), u64> {
        self.refill(now, rate_per_s);
        if self.tokens < 1.0 {
            let wait_ms = (1.0 - self.tokens) / rate_per_s * MS_PER_S;
            return Err(wait_ms.min(MAX_WAIT_MS).ceil() as u64);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Charges a request that is sent in any case; the bucket may go into debt.
    pub fn charge(&mut self, now: MonoMs, rate_per_s: f64) {
        self.refill(now, rate_per_s);
        self.tokens = (self.tokens - 1.0).max(-MAX_DEBT_S * rate_per_s);
    }

    /// Returns the time since a token was last requested or charged, in ms.
    pub fn idle_ms(&self, now: MonoMs) -> u64 {
        now.since(self.refilled_at)
    }

    fn refill(&mut self, now: MonoMs, rate_per_s: f64) {
        let elapsed_s = now.since(self.refilled_at) as f64 / MS_PER_S;
        self.tokens = (self.tokens + elapsed_s * rate_per_s).min(Self::MAX_TOKENS);
        self.refilled_at = now;
    }
}
