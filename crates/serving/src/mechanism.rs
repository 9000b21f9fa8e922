//! Parts of the decisions that can be switched off one by one, to measure what each is worth.

use {std::str::FromStr, thiserror::Error};

/// A part of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// A prompt is refused where others lose more by it than its answer is worth.
    RefusalByWorth,
    /// A second of an engine costs what later prompts would have used it for.
    PriceOfTime,
    /// Engines help to read a prompt.
    Helpers,
    /// A long prompt's part at the engine that answers is read ahead of others.
    FirstPlaces,
    /// Streams with short pauses share engines.
    Packing,
    /// Streams with middling pauses are written where no long prompts are read.
    Exposure,
    /// A prompt's own first pause counts.
    OwnPause,
    /// A longer first pause of prompts that have yet to begin counts.
    FirstPauses,
    /// What is likely to be in time counts as less than what is sure to be.
    Risk,
    /// What prompts that wait lose by being delayed counts.
    Delays,
    /// An instance that knows little of the others keeps to engines that it likes.
    Spreading,
    /// Engines' reports tell how slow they are.
    ReportedPace,
    /// A request that breaks its targets is kept from others.
    Poison,
    /// Targets that failed to be reached or to help are passed over for a while.
    PassingOver,
    /// Engines that failed prompts of late get fewer.
    Failures,
    /// One instance grants requests to a target that names a limit for all; else each has an equal part.
    SharedQuotas,
}

/// A name that is none of a mechanism.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no mechanism is called `{0}`: use one of {names}", names = Mechanism::names())]
pub struct UnknownMechanism(String);

impl Mechanism {
    /// All of them, in the order of their names on the pages.
    pub const ALL: [Self; 16] = [
        Self::RefusalByWorth,
        Self::PriceOfTime,
        Self::Helpers,
        Self::FirstPlaces,
        Self::Packing,
        Self::Exposure,
        Self::OwnPause,
        Self::FirstPauses,
        Self::Risk,
        Self::Delays,
        Self::Spreading,
        Self::ReportedPace,
        Self::Poison,
        Self::PassingOver,
        Self::Failures,
        Self::SharedQuotas,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::RefusalByWorth => "refusal-by-worth",
            Self::PriceOfTime => "price-of-time",
            Self::Helpers => "helpers",
            Self::FirstPlaces => "first-places",
            Self::Packing => "packing",
            Self::Exposure => "exposure",
            Self::OwnPause => "own-pause",
            Self::FirstPauses => "first-pauses",
            Self::Risk => "risk",
            Self::Delays => "delays",
            Self::Spreading => "spreading",
            Self::ReportedPace => "reported-pace",
            Self::Poison => "poison",
            Self::PassingOver => "passing-over",
            Self::Failures => "failures",
            Self::SharedQuotas => "shared-quotas",
        }
    }

    fn names() -> String {
        let names: Vec<&str> = Self::ALL.iter().map(|mechanism| mechanism.name()).collect();
        names.join(", ")
    }
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL
            .into_iter()
            .find(|mechanism| mechanism.name() == name);
        found.ok_or_else(|| UnknownMechanism(name.to_owned()))
    }
}

/// The mechanisms that are switched off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Without(u32);

impl Without {
    /// Whether a mechanism works.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & Self::bit(mechanism) == 0
    }

    fn bit(mechanism: Mechanism) -> u32 {
        1 << mechanism as u32
    }
}

impl FromIterator<Mechanism> for Without {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        let bits = mechanisms.into_iter().map(Self::bit);
        Self(bits.fold(0, |all, bit| all | bit))
    }
}
