//! Bytes and frames by kind, at a start and at rest.

use {
    super::fleet_fixture::Fleet,
    std::{cell::RefCell, collections::BTreeMap, env, net::SocketAddr, rc::Rc},
    whinlatch_daemon::entry::encode_frame,
    whinlatch_serving::fleet::FrameKind,
};

/// Variable with the sizes of the fleets, for measurements at sizes that take minutes.
const SIZES_VARIABLE: &str = "WHINLATCH_FLEET_SIZES";
/// Failure domains of the fleets.
const DOMAINS: u64 = 5;
/// Steps until all instances know each other; each sends one heartbeat in a step.
const START_STEPS: usize = 24;
/// Steps at rest: two periods of heartbeats over all links.
const REST_STEPS: usize = 8;
/// Largest factor by which the bytes of an instance at rest may grow from the smaller to the larger fleet.
const MAX_GROWTH: f64 = 1.3;

#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    frames: u64,
    bytes: u64,
}

/// What each instance sent, by kind of frame.
type Traffic = BTreeMap<(SocketAddr, &'static str), Sent>;

/// Traffic of a fleet while it starts and at rest, and its hubs.
struct Measured {
    size: u64,
    start: Traffic,
    rest: Traffic,
    hubs: Vec<SocketAddr>,
}

impl Measured {
    fn of(size: u64) -> Self {
        let sent: Rc<RefCell<Traffic>> = Rc::default();
        let observed = Rc::clone(&sent);
        let mut fleet = Fleet::in_domains(size, DOMAINS);
        fleet.on_sent = Box::new(move |from, frame| {
            let bytes = encode_frame(frame).unwrap().len() as u64;
            let mut traffic = observed.borrow_mut();
            let sent = traffic.entry((from, frame.kind().name())).or_default();
            sent.frames += 1;
            sent.bytes += bytes;
        });
        fleet.steps(START_STEPS);
        let start = sent.take();
        fleet.steps(REST_STEPS);
        Self {
            size,
            start,
            rest: sent.take(),
            hubs: fleet.hubs(),
        }
    }

    /// Returns the mean bytes of an instance that is no hub in one step at rest.
    fn bytes_at_rest(&self) -> f64 {
        let of_others = self
            .rest
            .iter()
            .filter(|((from, _), _)| !self.hubs.contains(from));
        let bytes: u64 = of_others.map(|(_, sent)| sent.bytes).sum();
        let others = self.size - self.hubs.len() as u64;
        bytes as f64 / REST_STEPS as f64 / others as f64
    }

    /// Prints frames and bytes by kind, of hubs and of all others.
    fn print(&self) {
        for (phase, traffic) in [("start", &self.start), ("rest", &self.rest)] {
            let mut rows: BTreeMap<(bool, &str), Sent> = BTreeMap::new();
            for ((from, kind), sent) in traffic {
                let row = rows.entry((self.hubs.contains(from), kind)).or_default();
                row.frames += sent.frames;
                row.bytes += sent.bytes;
            }
            for ((is_hub, kind), Sent { frames, bytes }) in rows {
                let role = if is_hub { "hubs" } else { "others" };
                println!(
                    "{} {phase} {role} {kind}: {frames} frames, {bytes} bytes",
                    self.size
                );
            }
        }
        println!(
            "{} at rest, no hub: {:.1} bytes a step",
            self.size,
            self.bytes_at_rest()
        );
    }
}

/// Returns the sizes of the fleets, ascending: those in `WHINLATCH_FLEET_SIZES`, separated by commas, or small ones.
fn sizes() -> Vec<u64> {
    let Ok(text) = env::var(SIZES_VARIABLE) else {
        return vec![60, 120];
    };
    let sizes = text.split(',').map(|size| size.trim().parse().unwrap());
    sizes.collect()
}

/// Guards against control traffic of an instance that grows with the fleet. Prints frames and bytes by kind for the
/// capacity page.
#[test]
fn an_instance_at_rest_sends_as_much_in_a_larger_fleet() {
    let measured: Vec<Measured> = sizes().into_iter().map(Measured::of).collect();

    for fleet in &measured {
        fleet.print();
    }
    let [smallest, .., largest] = &measured[..] else {
        panic!("{SIZES_VARIABLE} must have two sizes or more");
    };
    let growth = largest.bytes_at_rest() / smallest.bytes_at_rest();
    assert!(growth <= MAX_GROWTH, "{growth}");
    let mut at_rest = largest
        .rest
        .keys()
        .filter(|(from, _)| !largest.hubs.contains(from));
    assert!(at_rest.any(|(_, kind)| *kind == FrameKind::Heartbeat.name()));
}
