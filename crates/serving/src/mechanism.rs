//! Mechanisms of the decisions that can be switched off one by one, to measure the value of each.

use {std::str::FromStr, thiserror::Error};

/// A mechanism of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Refuses a prompt that costs others more than its answer is worth.
    RefusalByWorth,
    /// Charges a prompt for the engine time that later prompts would have used.
    PriceOfTime,
    /// Lets other engines help to read a prompt.
    Helpers,
    /// Reads the part of a long prompt at the answering engine ahead of other prompts.
    FirstPlaces,
    /// Places streams with short pause limits on the same engines.
    Packing,
    /// Keeps streams with medium pause limits away from engines that read long prompts.
    Exposure,
    /// Counts the expected first pause of the prompt itself.
    OwnPause,
    /// Counts longer first pauses of prompts that haven't had their first event.
    FirstPauses,
    /// Discounts an answer that is likely but not certain to be on time.
    Risk,
    /// Counts the loss of waiting prompts that are read later.
    Delays,
    /// Lets an instance that knows little of its peers prefer the engines to which it has an affinity.
    Spreading,
    /// Uses the pace that engines report of themselves.
    ReportedPace,
    /// Withholds a request on which several targets crashed from other targets.
    Poison,
    /// Skips, for a while, targets that were unreachable and engines that failed to help.
    PassingOver,
    /// Sends fewer prompts to engines that failed prompts recently.
    Failures,
    /// Lets one instance grant the requests to a target with a limit; without it each instance has an equal
    /// share.
    SharedQuotas,
    /// Sends a late idempotent call to a second target.
    Hedging,
    /// Shares the results of calls to plain targets among all instances.
    SharedCalls,
    /// Has peers serve requests whose targets this instance can't reach.
    Forwarding,
}

/// Error for a name that is not the name of a mechanism.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no mechanism is called `{0}`: use one of {names}", names = Mechanism::names())]
pub struct UnknownMechanism(String);

impl Mechanism {
    /// All mechanisms, in the order in which the documentation lists them.
    pub const ALL: [Self; 19] = [
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
        Self::Hedging,
        Self::SharedCalls,
        Self::Forwarding,
    ];

    /// Returns the mechanism's name on the command line.
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
            Self::Hedging => "hedging",
            Self::SharedCalls => "shared-calls",
            Self::Forwarding => "forwarding",
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
        let mechanism = Self::ALL
            .into_iter()
            .find(|mechanism| mechanism.name() == name);
        mechanism.ok_or_else(|| UnknownMechanism(name.to_owned()))
    }
}

/// Set of the mechanisms that are switched off, as a bit mask.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(u32);

impl DisabledMechanisms {
    /// Returns whether a mechanism is not in the set.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & Self::bit(mechanism) == 0
    }

    fn bit(mechanism: Mechanism) -> u32 {
        1 << mechanism as u32
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        let bits = mechanisms.into_iter().map(Self::bit);
        Self(bits.fold(0, |all, bit| all | bit))
    }
}
