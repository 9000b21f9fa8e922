use whinlatch_core::MonoMs;

/// Lines on what can't be read in each [`UNREADABLE_SPAN_MS`] at most: others may write as often as
/// they like. The counter of dropped lines has the rest.
const MOST_UNREADABLE: u32 = 50;
/// See [`MOST_UNREADABLE`], in ms.
const UNREADABLE_SPAN_MS: u64 = 10_000;

/// Counts lines on what can't be read, so that whoever writes below the targets' prefix doesn't fill
/// the log.
#[derive(Debug, Default)]
pub struct UnreadableLines {
    since: MonoMs,
    count: u32,
}

impl UnreadableLines {
    /// Whether one more may be written.
    pub fn take(&mut self, now: MonoMs) -> bool {
        if now.since(self.since) >= UNREADABLE_SPAN_MS {
            self.since = now;
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.count <= MOST_UNREADABLE
    }
}
