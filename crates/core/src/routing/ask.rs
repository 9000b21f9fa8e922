use {
    crate::event::Work,
    thiserror::Error,
    whinlatch_wire::{
        ids::TargetName,
        record::{PolicyRecord, RouteRecord},
    },
};

/// Part of the policy's `long_prompt_tokens` up to which a prompt is light.
const LIGHT_PART: u64 = 8;

/// How long a prompt holds up others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Weight {
    /// Not noticeably; held up by all others.
    Light,
    /// Light prompts notice it.
    Medium,
    /// At least the policy's `long_prompt_tokens`.
    Long,
}

impl Weight {
    /// The weight of a prompt under a policy.
    pub fn of(prompt_tokens: u64, policy: &PolicyRecord) -> Self {
        if prompt_tokens >= policy.long_prompt_tokens {
            Self::Long
        } else if prompt_tokens > policy.long_prompt_tokens / LIGHT_PART {
            Self::Medium
        } else {
            Self::Light
        }
    }
}

/// Priorities at an engine by weight: 0 is most urgent, 9 least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Priorities {
    medium: u8,
    long: u8,
}

impl Priorities {
    /// Light prompts go first, since they hold up nobody; whether medium or long ones come next
    /// follows from the policy's weights.
    pub fn of(policy: &PolicyRecord) -> Self {
        if policy.long_first_token_weight > policy.short_slowdown_weight {
            Self { medium: 6, long: 4 }
        } else {
            Self { medium: 4, long: 6 }
        }
    }

    /// The priority of a weight.
    pub fn at(self, weight: Weight) -> u8 {
        match weight {
            Weight::Light => 2,
            Weight::Medium => self.medium,
            Weight::Long => self.long,
        }
    }
}

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
    /// How long the prompt holds up others.
    pub weight: Weight,
    /// Priorities at an engine.
    pub priorities: Priorities,
}

impl<'a> Ask<'a> {
    /// Asks for work under a route and the policy in force.
    pub fn new(
        work: &'a Work,
        route: &'a RouteRecord,
        tried: &'a [TargetName],
        policy: &PolicyRecord,
    ) -> Self {
        Self {
            work,
            route,
            tried,
            alone: false,
            weight: Weight::of(prompt_tokens(work), policy),
            priorities: Priorities::of(policy),
        }
    }

    /// States whether the request may crash its target.
    #[must_use]
    pub fn alone(self, alone: bool) -> Self {
        Self { alone, ..self }
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        prompt_tokens(self.work)
    }
}

fn prompt_tokens(work: &Work) -> u64 {
    match work {
        Work::Prompt { prompt_tokens, .. } => *prompt_tokens,
        Work::Call { .. } => 0,
    }
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
