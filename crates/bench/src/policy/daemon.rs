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

/// A simulated daemon: the decision logic that `Policy` selects.
#[derive(Debug)]
pub enum Daemon {
    /// The core of whinlatch.
    Core(Box<Core>),
    /// A common load-balancing rule.
    Baseline(Box<Baseline>),
}

impl Daemon {
    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: MonoMs, event: Event) -> Vec<Action> {
        match self {
            Self::Core(core) => core.handle(now, event),
            Self::Baseline(baseline) => baseline.handle(now, event),
        }
    }

    /// Creates the daemon with this index, started at time 0. Its seed is derived from the run's seed.
    pub fn new(setup: &Setup<'_>, index: usize) -> Self {
        let incarnation = incarnation_of(index);
        let seed = setup.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        match setup.policy {
            Policy::Baseline(rule) => {
                let baseline = Baseline::new(rule, incarnation, setup.mix, setup.targets, seed);
                Self::Baseline(Box::new(baseline))
            }
            Policy::Whinlatch => {
                let hello = hello_of(index);
                let options = CoreOptions {
                    instance: hello.instance,
                    failure_domain: hello.failure_domain,
                    incarnation,
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

/// Returns the incarnation of the daemon with this index.
pub fn incarnation_of(daemon: usize) -> Incarnation {
    Incarnation(daemon as u128 + 1)
}

/// Returns the index of the daemon with this incarnation.
pub fn daemon_index(incarnation: Incarnation) -> usize {
    incarnation.0 as usize - 1
}

/// Returns the hello that a daemon sends to its peers.
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
