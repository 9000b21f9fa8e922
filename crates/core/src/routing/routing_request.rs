use {
    crate::event::Work,
    thiserror::Error,
    whinlatch_wire::{
        ids::TargetName,
        record::{PolicyRecord, RouteRecord},
    },
};

/// A prompt is light up to the policy's `long_prompt_tokens` divided by this.
const LIGHT_PROMPT_DIVISOR: u64 = 8;

/// Class of a prompt by how long it delays other prompts at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Weight {
    /// Doesn't noticeably delay others, but is delayed by all other prompts.
    Light,
    /// Noticeably delays light prompts.
    Medium,
    /// Has at least the policy's `long_prompt_tokens`.
    Long,
}

impl Weight {
    /// Returns the weight of a prompt under a policy.
    pub fn of(prompt_tokens: u64, policy: &PolicyRecord) -> Self {
        if prompt_tokens >= policy.long_prompt_tokens {
            Self::Long
        } else if prompt_tokens > policy.long_prompt_tokens / LIGHT_PROMPT_DIVISOR {
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
    /// Returns the priorities under a policy. Light prompts come first, since they delay no others;
    /// the policy's weights decide whether medium or long prompts come second.
    pub fn of(policy: &PolicyRecord) -> Self {
        if policy.long_first_token_weight > policy.short_slowdown_weight {
            Self { medium: 6, long: 4 }
        } else {
            Self { medium: 4, long: 6 }
        }
    }

    /// Returns the priority of prompts of a weight.
    pub fn at(self, weight: Weight) -> u8 {
        match weight {
            Weight::Light => 2,
            Weight::Medium => self.medium,
            Weight::Long => self.long,
        }
    }
}

/// A request for which a target is to be chosen, with the constraints on the choice.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Prompt or call to run.
    pub work: &'a Work,
    /// Route that allows the request; its providers share the requests.
    pub route: &'a RouteRecord,
    /// Targets that were tried already or must be avoided for another reason. None of them is chosen if
    /// another target exists.
    pub avoided: &'a [TargetName],
    /// Whether the request is suspected of crashing targets: a target with nothing in flight is
    /// preferred.
    pub alone: bool,
    /// Weight of the prompt; light for calls.
    pub weight: Weight,
    /// Priorities of the weights at an engine under the policy in force.
    pub priorities: Priorities,
}

impl<'a> RoutingRequest<'a> {
    /// Creates a request for work under a route, with weight and priorities by the policy in force.
    pub fn new(
        work: &'a Work,
        route: &'a RouteRecord,
        avoided: &'a [TargetName],
        policy: &PolicyRecord,
    ) -> Self {
        Self {
            work,
            route,
            avoided,
            alone: false,
            weight: Weight::of(prompt_tokens(work), policy),
            priorities: Priorities::of(policy),
        }
    }

    /// Sets whether the request should run alone at its target.
    #[must_use]
    pub fn alone(self, alone: bool) -> Self {
        Self { alone, ..self }
    }

    /// Returns the length of the prompt in tokens; 0 for calls.
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

/// Reason for which no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RoutingError {
    /// No live target serves the work.
    #[error("no live target serves this request: check the targets and their records")]
    NoneLive,
    /// The prompt is larger than the memory of any single engine and needs a group.
    #[error("the prompt is larger than the memory of any single engine")]
    TooLong,
}
