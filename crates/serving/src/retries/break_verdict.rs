/// What a connection that broke under a request says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakVerdict {
    /// It counts against the request.
    Counted,
    /// The fate of its target will tell.
    Unexplained,
    /// It counts against the request, since the target has died.
    Died,
    /// It doesn't count, since the target lives.
    Survived,
    /// It doesn't count, since nothing tells what became of the target.
    Unsolved,
}

impl BreakVerdict {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Counted => "counted",
            Self::Unexplained => "unexplained",
            Self::Died => "died",
            Self::Survived => "survived",
            Self::Unsolved => "unsolved",
        }
    }

    /// Returns whether no other verdict on the break follows.
    pub fn is_final(self) -> bool {
        self != Self::Unexplained
    }
}
