use {
    super::{
        baseline::Baseline,
        setup::{Policy, Setup},
    },
    std::net::SocketAddr,
    whinlatch_core::{Action, Core, CoreOptions, Event, MonoMs},
    whinlatch_wire::{
        ids::{FailureDomain, Incarnation, InstanceName},
        peer::{Hello, PEER_PROTOCOL},
    },
};

/// What decides in a run.
#[derive(Debug)]
pub enum Daemon {
    /// The core.
    Core(Box<Core>),
    /// A common rule.
    Common(Box<Baseline>),
}

impl Daemon {
    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: MonoMs, event: Event) -> Vec<Action> {
        match self {
            Self::Core(core) => core.handle(now, event),
            Self::Common(baseline) => baseline.handle(now, event),
        }
    }

    /// The daemon of a number, just started.
    pub fn new(setup: &Setup<'_>, number: usize) -> Self {
        let own = incarnation_of(number);
        let seed = setup.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        match setup.policy {
            Policy::Common(rule) => {
                let baseline = Baseline::new(rule, own, setup.mix, setup.targets, seed);
                Self::Common(Box::new(baseline))
            }
            Policy::Whinlatch => {
                let hello = hello_of(number);
                let options = CoreOptions {
                    instance: hello.instance,
                    failure_domain: hello.failure_domain,
                    incarnation: own,
                    caller_address: hello.caller_address,
                    peer_address: hello.peer_address,
                    seed_peers: Vec::new(),
                    seed,
                };
                Self::Core(Box::new(Core::new(MonoMs(0), options)))
            }
        }
    }
}

/// The run of a daemon by number.
pub fn incarnation_of(daemon: usize) -> Incarnation {
    Incarnation(daemon as u128 + 1)
}

/// The number of a daemon by run.
pub fn daemon_of(incarnation: Incarnation) -> usize {
    incarnation.0 as usize - 1
}

/// What a daemon says of itself.
pub fn hello_of(daemon: usize) -> Hello {
    Hello {
        protocol: PEER_PROTOCOL,
        instance: InstanceName::new(&format!("instance-{daemon}")),
        incarnation: incarnation_of(daemon),
        failure_domain: FailureDomain::new(&format!("domain-{}", daemon % 3)),
        caller_address: SocketAddr::from(([10, 0, 0, daemon as u8], 7000)),
        peer_address: SocketAddr::from(([10, 0, 0, daemon as u8], 7100)),
        nonce: 0,
    }
}
