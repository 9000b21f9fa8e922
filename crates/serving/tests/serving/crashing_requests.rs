//! Requests that crash each target that runs them, and what a fleet knows of them over starts and cuts.

use {
    super::{fixture::prompt_request, fleet_fixture::Fleet},
    std::net::SocketAddr,
    whinlatch_serving::{PromptRequest, Refusal, names::TargetId},
};

/// Steps until the instances of a fleet know each other.
const SETTLING_STEPS: usize = 12;
/// Run of an instance that starts during a test.
const NEW_RUN: u64 = 9_999;

/// Has a request crash three engines, each at another instance and after the one before.
fn crash_three(fleet: &mut Fleet, addresses: &[SocketAddr], request: &PromptRequest) {
    for (address, engine) in addresses.iter().zip(["e-00", "e-01", "e-02"]) {
        fleet.step();
        let now = fleet.now;
        let serving = fleet.alive.get_mut(address).unwrap();
        serving.record_crash(now, request.fingerprint, &TargetId::from(engine));
        fleet.deliver_news();
    }
}

/// Returns the instances that would send a request to an engine.
fn admitting(fleet: &mut Fleet, request: &PromptRequest) -> Vec<SocketAddr> {
    let now = fleet.now;
    let mut admitting = Vec::new();
    for (address, serving) in &mut fleet.alive {
        if serving.admit_prompt(now, request) != Err(Refusal::Poison) {
            admitting.push(*address);
        }
    }
    admitting
}

/// Returns a fleet whose instances know each other, and their addresses.
fn settled(count: u64) -> (Fleet, Vec<SocketAddr>) {
    let mut fleet = Fleet::start(count);
    fleet.steps(SETTLING_STEPS);
    let addresses = fleet.alive.keys().copied().collect();
    (fleet, addresses)
}

#[test]
fn all_instances_refuse_a_request_after_its_third_crash() {
    for count in [9, 62, 295] {
        let (mut fleet, addresses) = settled(count);
        let request = prompt_request(5_000);

        crash_three(&mut fleet, &addresses, &request);

        assert!(admitting(&mut fleet, &request).is_empty(), "{count}");
    }
}

/// Guards against three more crashes by each instance that has started since a request was found to crash its targets.
#[test]
fn an_instance_that_starts_refuses_a_request_that_crashed_targets_before() {
    for count in [9, 62, 295] {
        let (mut fleet, addresses) = settled(count);
        let request = prompt_request(5_000);
        crash_three(&mut fleet, &addresses, &request);

        for (number, address) in addresses.iter().rev().take(3).enumerate() {
            fleet.restart(*address, NEW_RUN + number as u64);
        }
        fleet.steps(SETTLING_STEPS);

        assert!(admitting(&mut fleet, &request).is_empty(), "{count}");
    }
}

/// Guards against crashes by instances that were partitioned from their peers when a request was found to crash its
/// targets.
#[test]
fn an_instance_that_was_cut_off_from_peers_refuses_a_request_that_crashed_targets_meanwhile() {
    for count in [9, 62, 295] {
        let (mut fleet, addresses) = settled(count);
        let request = prompt_request(5_000);
        let cut = addresses[addresses.len() - 1];
        fleet.partitions.insert(cut, 1);
        crash_three(&mut fleet, &addresses, &request);

        fleet.partitions.clear();
        fleet.steps(SETTLING_STEPS);

        assert!(admitting(&mut fleet, &request).is_empty(), "{count}");
    }
}
