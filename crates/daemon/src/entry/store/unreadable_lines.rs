use whinlatch_core::MonoMs;

/// Limit for the log lines on unreadable entries in each [`UNREADABLE_INTERVAL_MS`]. The metric of dropped log lines
/// counts the rest.
const MAX_UNREADABLE_LINES: u32 = 50;
/// Interval to which [`MAX_UNREADABLE_LINES`] applies, in ms.
const UNREADABLE_INTERVAL_MS: u64 = 10_000;

/// Rate limit for log lines on unreadable entries, so that other writers below the targets' prefix can't
/// fill the log.
#[derive(Debug, Default)]
pub struct UnreadableLines {
    since: MonoMs,
    count: u32,
}

impl UnreadableLines {
    /// Counts a line. Returns whether it may be written.
    pub fn try_take(&mut self, now: MonoMs) -> bool {
        if now.since(self.since) >= UNREADABLE_INTERVAL_MS {
            self.since = now;
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.count <= MAX_UNREADABLE_LINES
    }
}
