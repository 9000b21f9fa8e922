//! Cost of an idle daemon per second.

use crate::capacity::fleet::{Fleet, FleetOptions};

/// Time after which the fleet is in its steady state, in s. The daemons that read the platform only
/// occasionally take longest to get there.
const SETTLE_S: u64 = 45;
/// Time during which costs are counted, in s.
const MEASURE_S: u64 = 5;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Mean cost of an idle daemon per second.
#[derive(Debug, Clone, Copy)]
pub struct IdleCost {
    /// Bytes sent to peers.
    pub peer_bytes_out: f64,
    /// Bytes received from peers.
    pub peer_bytes_in: f64,
    /// Peer frames sent.
    pub frames_out: f64,
    /// Requests sent to targets, such as reads of reports.
    pub target_calls: f64,
    /// Bytes of calls to targets and of the responses.
    pub target_bytes: f64,
    /// Bytes received from the platform.
    pub platform_bytes: f64,
    /// Bytes received from the platform by the daemon that received most.
    pub max_platform_bytes: f64,
    /// Reads of the platform.
    pub reads: f64,
    /// CPU time of core and codecs, in ms.
    pub cpu_ms: f64,
    /// Open links.
    pub links: f64,
}

impl IdleCost {
    /// Returns the bytes of all control traffic, sent and received.
    pub fn bytes(&self) -> f64 {
        self.peer_bytes_out + self.peer_bytes_in + self.target_bytes + self.platform_bytes
    }
}

/// Measures the daemons of a fleet in its steady state.
pub fn measure_idle(options: FleetOptions) -> IdleCost {
    measure_idle_fleet(options).0
}

/// Measures the daemons of a fleet in its steady state. Returns the fleet as well.
pub fn measure_idle_fleet(options: FleetOptions) -> (IdleCost, Fleet) {
    let daemons = options.daemons;
    let mut fleet = Fleet::new(options);
    fleet.run_s(SETTLE_S);
    fleet.reset_counters();
    fleet.run_s(MEASURE_S);
    (mean_cost(&fleet, daemons), fleet)
}

fn mean_cost(fleet: &Fleet, daemons: usize) -> IdleCost {
    let total = fleet.total();
    let links = fleet.open_links() * 2;
    let max_platform = fleet.counters().map(|c| c.platform_bytes_in).max();
    let each = |count: u64| count as f64 / daemons as f64 / MEASURE_S as f64;
    IdleCost {
        peer_bytes_out: each(total.peer_bytes_out),
        peer_bytes_in: each(total.peer_bytes_in),
        frames_out: each(total.frames_out),
        target_calls: each(total.target_calls),
        target_bytes: each(total.target_bytes_out + total.target_bytes_in),
        platform_bytes: each(total.platform_bytes_in),
        max_platform_bytes: max_platform.unwrap_or(0) as f64 / MEASURE_S as f64,
        reads: each(total.reads()),
        cpu_ms: each(total.cpu_ns()) / NS_PER_MS,
        links: links as f64 / daemons as f64,
    }
}
