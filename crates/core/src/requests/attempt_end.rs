/// What an ended attempt says of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Not one byte was written, or the target itself said that it did not run it and never will.
    NotRun,
    /// Anything else.
    MayHaveRun,
}
