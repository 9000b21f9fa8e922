//! Instances that are partitioned from all targets, and what others make of what they say.

use {
    super::{fixture::prompt_request, fleet_fixture::Fleet},
    std::net::SocketAddr,
    whinlatch_serving::names::TargetId,
};

/// Steps until the instances of a fleet know each other.
const SETTLING_STEPS: usize = 12;

fn engines() -> [TargetId; 4] {
    ["e-00", "e-01", "e-02", "e-03"].map(TargetId::from)
}

/// Has an instance fail to connect to each engine in turn.
fn fail_to_connect(fleet: &mut Fleet, address: SocketAddr) {
    let now = fleet.now;
    let serving = fleet.alive.get_mut(&address).unwrap();
    for engine in engines() {
        serving.record_unreachable(now, &engine);
    }
}

/// Guards against sound targets that the whole fleet avoids, because instances that are partitioned from them say
/// that they can't reach them.
#[test]
fn the_fleet_does_not_avoid_targets_that_only_cut_instances_cannot_reach() {
    for count in [9, 62] {
        let mut fleet = Fleet::start(count);
        fleet.steps(SETTLING_STEPS);
        let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
        let (cut, others) = addresses.split_at(addresses.len() / 2);

        for address in cut {
            fail_to_connect(&mut fleet, *address);
        }
        fleet.deliver_news();

        for address in others {
            for engine in engines() {
                let is_avoided = fleet.alive[address].is_unreachable(fleet.now, &engine);
                assert!(!is_avoided, "{engine} at {address}, {count} instances");
            }
        }
    }
}

/// Guards against streams that hang at an engine which has lost power, since instances whose links work don't tell
/// each other.
#[test]
fn the_fleet_learns_of_an_engine_that_an_instance_with_a_working_link_cannot_reach() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let [lost, reached, ..] = engines();
    let now = fleet.now;
    let first = fleet.alive.get_mut(&addresses[0]).unwrap();

    first.record_unreachable(now, &lost);
    first.record_connected(now + 200, &reached);
    fleet.deliver_news();

    for address in &addresses {
        let serving = &fleet.alive[address];
        let avoided = [&lost, &reached].map(|id| serving.is_unreachable(now, id));
        assert_eq!(avoided, [true, false], "{address}");
    }
}

/// Guards against avoiding targets that a peer can't reach though they have just answered here.
#[test]
fn what_a_target_sends_counts_more_than_a_report_of_a_peer() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let [lost, reached, ..] = engines();
    let now = fleet.now;
    let hearing = fleet.alive.get_mut(&addresses[1]).unwrap();
    hearing.record_heard(now, &lost);

    let partly_cut = fleet.alive.get_mut(&addresses[0]).unwrap();
    partly_cut.record_unreachable(now, &lost);
    partly_cut.record_connected(now, &reached);
    fleet.deliver_news();

    assert!(!fleet.alive[&addresses[1]].is_unreachable(now, &lost));
    assert!(fleet.alive[&addresses[2]].is_unreachable(now, &lost));
}

/// Guards against requests that the whole fleet refuses as ones that crash their targets, since an instance that was cut
/// off lost its connections to several targets while they ran.
#[test]
fn requests_that_a_cut_instance_loses_are_not_condemned() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let now = fleet.now;
    let request = prompt_request(5_000);
    let cut = fleet.alive.get_mut(&addresses[0]).unwrap();

    for (engine, at) in engines().iter().zip([0, 2, 4, 6]) {
        cut.record_connection_failure(now + at, engine);
        cut.record_crash(now + at, request.fingerprint, engine);
    }
    fleet.deliver_news();

    let other = fleet.alive.get_mut(&addresses[1]).unwrap();
    let admitted = other.admit_prompt(now + 10, &request);
    assert!(admitted.is_ok(), "{admitted:?}");
}
