//! Random steps of the simulation, in any order. The saved cases in `invariants_requests.regressions` name
//! these variants in their comments.

use {
    super::{Answer, DAEMONS, JOBS},
    proptest::prelude::*,
    proptest_state_machine::ReferenceStateMachine,
};

#[derive(Debug, Clone)]
pub enum Step {
    /// Submits a call that must not run twice.
    AskOnce {
        daemon: usize,
        job: usize,
        deadline_ms: u64,
    },
    /// Submits a prompt.
    Ask {
        daemon: usize,
        deadline_ms: u64,
    },
    Deliver {
        which: usize,
        answer: Answer,
    },
    Duplicate {
        which: usize,
    },
    Lose {
        which: usize,
        seen: bool,
    },
    /// Delivers a refusal on the connection of another attempt.
    Cross {
        which: usize,
    },
    KillTarget {
        which: usize,
    },
    KillDaemon {
        daemon: usize,
    },
    Freeze {
        daemon: usize,
    },
    /// Pauses a daemon that has handled an answer, before it carries out the actions.
    FreezeAmid {
        daemon: usize,
        which: usize,
    },
    /// Resumes a paused daemon.
    Wake {
        daemon: usize,
    },
    Tick {
        ticks: u64,
    },
}

#[derive(Debug)]
pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let daemon = 0..DAEMONS;
        let which = 0..64_usize;
        let answer = prop_oneof![
            3 => Just(Answer::Complete),
            2 => Just(Answer::Refuse),
            1 => Just(Answer::Fail),
            2 => Just(Answer::Hang),
        ];
        prop_oneof![
            8 => (daemon.clone(), 0..JOBS, any::<u64>())
                .prop_map(|(daemon, job, deadline_ms)| Step::AskOnce { daemon, job, deadline_ms }),
            4 => (daemon.clone(), any::<u64>())
                .prop_map(|(daemon, deadline_ms)| Step::Ask { daemon, deadline_ms }),
            16 => (which.clone(), answer)
                .prop_map(|(which, answer)| Step::Deliver { which, answer }),
            2 => which.clone().prop_map(|which| Step::Duplicate { which }),
            3 => (which.clone(), any::<bool>()).prop_map(|(which, seen)| Step::Lose { which, seen }),
            2 => which.clone().prop_map(|which| Step::Cross { which }),
            2 => which.clone().prop_map(|which| Step::KillTarget { which }),
            1 => daemon.clone().prop_map(|daemon| Step::KillDaemon { daemon }),
            1 => daemon.clone().prop_map(|daemon| Step::Freeze { daemon }),
            1 => (daemon.clone(), which)
                .prop_map(|(daemon, which)| Step::FreezeAmid { daemon, which }),
            3 => daemon.prop_map(|daemon| Step::Wake { daemon }),
            6 => (1..30_u64).prop_map(|ticks| Step::Tick { ticks }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
