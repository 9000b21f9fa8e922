use {std::collections::HashMap, whinlatch_core::MonoMs};

/// Time for which an answer counts at least, in ms, and at most twice as long.
const PERIOD_MS: u64 = 30_000;

/// How long the answers of each route have taken of late.
#[derive(Debug, Default)]
pub struct AnswerDurations {
    routes: HashMap<Box<str>, Longest>,
}

/// The longest answers of a route in the current period and in the one before.
#[derive(Debug, Default)]
struct Longest {
    period: u64,
    current_ms: u64,
    former_ms: u64,
}

impl AnswerDurations {
    /// Records a complete answer.
    pub fn record(&mut self, now: MonoMs, route: &str, took_ms: u64) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.into(), Longest::default());
        }
        if let Some(longest) = self.routes.get_mut(route) {
            longest.advance(now.0 / PERIOD_MS);
            longest.current_ms = longest.current_ms.max(took_ms);
        }
    }

    /// Returns how long the longest of the recent answers took, in ms; `None` if there was none.
    pub fn longest_ms(&mut self, now: MonoMs, route: &str) -> Option<u64> {
        let longest = self.routes.get_mut(route)?;
        longest.advance(now.0 / PERIOD_MS);
        let longest_ms = longest.current_ms.max(longest.former_ms);
        (longest_ms > 0).then_some(longest_ms)
    }

    /// Forgets routes that a configuration no longer has.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
    }
}

impl Longest {
    fn advance(&mut self, period: u64) {
        if period == self.period {
            return;
        }
        let is_next = period == self.period + 1;
        self.former_ms = if is_next { self.current_ms } else { 0 };
        self.current_ms = 0;
        self.period = period;
    }
}
