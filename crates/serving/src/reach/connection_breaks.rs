use {crate::names::TargetId, whinlatch_core::MonoMs};

/// Time within which connections to several targets must break for their common link to be suspect, in ms.
const WINDOW_MS: u64 = 200;

/// Targets to which connections broke or couldn't be opened a short time ago.
///
/// Guards against what a broken link of this instance says of targets and requests: all open connections are reset at
/// once, which looks as if each target had crashed on what it was running.
#[derive(Debug, Default)]
pub struct ConnectionBreaks {
    breaks: Vec<(TargetId, MonoMs)>,
}

impl ConnectionBreaks {
    /// Records that a connection to a target broke or couldn't be opened.
    pub fn record(&mut self, now: MonoMs, target: &TargetId) {
        self.breaks
            .retain(|(other, at)| other != target && now.since(*at) < WINDOW_MS);
        self.breaks.push((target.clone(), now));
    }

    /// Records that a connection was opened, which shows that the link works.
    pub fn clear(&mut self) {
        self.breaks.clear();
    }

    /// Returns whether connections to other targets than this one broke at the same time.
    pub fn has_other(&self, now: MonoMs, target: &TargetId) -> bool {
        let is_recent = |at: &MonoMs| now.since(*at) < WINDOW_MS;
        let mut breaks = self.breaks.iter();
        breaks.any(|(other, at)| other != target && is_recent(at))
    }
}
