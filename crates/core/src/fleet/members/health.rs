use crate::time::MonoMs;

/// A gap between ticks that shows that this process was paused, in ms.
const PAUSE_MS: u64 = 2_000;
/// Most doubt that gathers.
const MOST_DOUBT: u64 = 4;
/// Time in which one step of doubt goes away, in ms.
const CALM_AFTER_MS: u64 = 30_000;

/// How much this daemon has reason to mistrust its own view, after Lifeguard: one that was paused
/// has heard nobody and would take all others for dead.
#[derive(Debug, Default)]
pub(super) struct Health {
    doubt: u64,
    changed: MonoMs,
    ticked: Option<MonoMs>,
}

impl Health {
    /// Notes a tick. Returns whether this daemon was paused before it.
    pub fn tick(&mut self, now: MonoMs) -> bool {
        let last = self.ticked.replace(now).unwrap_or(now);
        if self.doubt > 0 && now.since(self.changed) > CALM_AFTER_MS {
            self.doubt -= 1;
            self.changed = now;
        }
        now.since(last) > PAUSE_MS
    }

    /// Notes a reason to mistrust the own view.
    pub fn doubt_more(&mut self, now: MonoMs) {
        self.doubt = (self.doubt + 1).min(MOST_DOUBT);
        self.changed = now;
    }

    /// Steps of doubt.
    pub fn doubt(&self) -> u64 {
        self.doubt
    }
}
