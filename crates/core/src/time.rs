use std::{fmt, ops::Add};

/// A point in time on the process's monotonic clock, in ms since an arbitrary start. Only comparable
/// within one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// Returns the time elapsed since `earlier` in ms; 0 if `earlier` is later than this.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for MonoMs {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl fmt::Display for MonoMs {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ms", self.0)
    }
}
