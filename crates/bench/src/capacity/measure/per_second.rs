//! What each daemon spends in a second while nothing happens.

use crate::capacity::fleet::{Fleet, FleetOptions};

/// Time after which even the daemons that read the platform only now and then are at their usual
/// pace, in s.
const SETTLE_S: u64 = 45;
/// Time that is measured, in s.
const MEASURE_S: u64 = 5;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// What a daemon spends in a second.
#[derive(Debug, Clone, Copy)]
pub struct PerSecond {
    /// Bytes sent to peers.
    pub peer_bytes_out: f64,
    /// Bytes received from peers.
    pub peer_bytes_in: f64,
    /// Peer frames sent.
    pub frames_out: f64,
    /// Calls to targets.
    pub target_calls: f64,
    /// Bytes of calls to targets and of their answers.
    pub target_bytes: f64,
    /// Bytes read from the platform.
    pub platform_bytes: f64,
    /// Bytes read from the platform by the daemon that read most.
    pub most_platform_bytes: f64,
    /// Reads of the platform.
    pub reads: f64,
    /// Processor time, in ms.
    pub cpu_ms: f64,
    /// Links open.
    pub links: f64,
}

impl PerSecond {
    /// Bytes of all control, both ways.
    pub fn bytes(&self) -> f64 {
        self.peer_bytes_out + self.peer_bytes_in + self.target_bytes + self.platform_bytes
    }
}

/// Lets a fleet come to rest and measures its daemons.
pub fn at_rest(options: FleetOptions) -> PerSecond {
    at_rest_and_after(options).0
}

/// Lets a fleet come to rest and measures its daemons; returns the fleet too.
pub fn at_rest_and_after(options: FleetOptions) -> (PerSecond, Fleet) {
    let daemons = options.daemons;
    let mut fleet = Fleet::new(options);
    fleet.run_s(SETTLE_S);
    fleet.reset_counters();
    fleet.run_s(MEASURE_S);
    (spent(&fleet, daemons), fleet)
}

fn spent(fleet: &Fleet, daemons: usize) -> PerSecond {
    let total = fleet.total();
    let links = fleet.open_links() * 2;
    let most_platform = fleet.counters().map(|c| c.platform_bytes_in).max();
    let each = |count: u64| count as f64 / daemons as f64 / MEASURE_S as f64;
    PerSecond {
        peer_bytes_out: each(total.peer_bytes_out),
        peer_bytes_in: each(total.peer_bytes_in),
        frames_out: each(total.frames_out),
        target_calls: each(total.target_calls),
        target_bytes: each(total.target_bytes_out + total.target_bytes_in),
        platform_bytes: each(total.platform_bytes_in),
        most_platform_bytes: most_platform.unwrap_or(0) as f64 / MEASURE_S as f64,
        reads: each(total.reads()),
        cpu_ms: each(total.cpu_ns()) / NS_PER_MS,
        links: links as f64 / daemons as f64,
    }
}
