//! Instances that are partitioned from all targets, and what others make of what they say.

use {super::fleet_fixture::Fleet, std::net::SocketAddr, whinlatch_serving::names::TargetId};

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
