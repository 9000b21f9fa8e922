use {
    crate::event::Work,
    thiserror::Error,
    whinlatch_wire::{ids::TargetName, record::RouteRecord},
};

/// What a target is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The work.
    pub work: &'a Work,
    /// The route that allows it.
    pub route: &'a RouteRecord,
    /// Targets that were tried already, or are to be avoided for another reason; none of them is
    /// chosen if another target exists.
    pub tried: &'a [TargetName],
    /// Whether the request may crash its target: one with nothing in flight is chosen if there is
    /// one.
    pub alone: bool,
}

/// Why there is no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoChoice {
    /// None is live.
    #[error("no live target serves this: check its targets and their records")]
    NoneLive,
    /// The prompt is larger than the memory of any one engine and takes a group.
    #[error("the prompt is larger than the memory of any engine")]
    TooLong,
}
