use {
    super::{
        Counters,
        published::{caller_address, domain_of, instance_of, peer_address},
    },
    crate::capacity::size::REGIONS,
    whinlatch_core::{Core, CoreOptions, MonoMs},
    whinlatch_wire::{
        ids::{Incarnation, Revision},
        peer::{Hello, PEER_PROTOCOL},
    },
};

/// Seed peers in the settings of each daemon.
const SEED_PEERS: usize = 3;

/// A core with the state of its simulated daemon.
#[derive(Debug)]
pub(super) struct Daemon {
    pub(super) core: Core,
    pub(super) hello: Hello,
    pub(super) region: usize,
    pub(super) alive: bool,
    /// Whether the daemon reaches the platform.
    pub(super) reads_platform: bool,
    /// The read of records that currently waits; absent if there is none.
    pub(super) watch: Option<Watch>,
    pub(super) counters: Counters,
}

/// A read of records that waits for a newer revision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watch {
    pub(super) after: Revision,
    pub(super) expires_at: MonoMs,
}

impl Daemon {
    /// Creates a daemon that starts at `now`. `run` distinguishes the runs of one instance.
    pub(super) fn new(now: MonoMs, number: usize, run: u64) -> Self {
        Self {
            core: core_of(now, number, run),
            hello: hello_of(number, run),
            region: number % REGIONS,
            alive: true,
            reads_platform: true,
            watch: None,
            counters: Counters::default(),
        }
    }
}

/// Creates a core that starts at `now`. `run` distinguishes the runs of one instance.
pub fn core_of(now: MonoMs, number: usize, run: u64) -> Core {
    let options = CoreOptions {
        instance: instance_of(number),
        failure_domain: domain_of(number),
        incarnation: incarnation_of(number, run),
        caller_address: caller_address(number),
        peer_address: peer_address(number),
        seed_peers: (0..SEED_PEERS).map(peer_address).collect(),
        seed: number as u64 + 1,
    };
    Core::new(now, options)
}

/// Returns the hello that a daemon sends when a link opens.
pub fn hello_of(number: usize, run: u64) -> Hello {
    let incarnation = incarnation_of(number, run);
    Hello {
        protocol: PEER_PROTOCOL,
        instance: instance_of(number),
        incarnation,
        failure_domain: domain_of(number),
        caller_address: caller_address(number),
        peer_address: peer_address(number),
        nonce: incarnation.0,
    }
}

fn incarnation_of(number: usize, run: u64) -> Incarnation {
    Incarnation((u128::from(run) << 64) | (number as u128 + 1))
}
