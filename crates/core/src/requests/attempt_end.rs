/// Whether a target may have run an attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte was sent, or the target reported that it did not run the attempt and never will.
    NotRun,
    /// No byte was sent, because the daemon was too slow to send it. This doesn't count as an attempt.
    Withdrawn,
    /// Any other end: the target may have run the attempt.
    MayHaveRun,
}
