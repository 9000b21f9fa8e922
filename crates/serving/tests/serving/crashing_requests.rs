//! Requests that crash each target that runs them, and what a fleet knows of them over starts and cuts.

use {
    super::{
        fixture::{START, change, instance, prompt_request, removal},
        fleet_fixture::Fleet,
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        BrokenAttempt, PromptRequest, Refusal, Serving, names::TargetId, retries::BreakVerdict,
        targets::TargetState,
    },
};

/// Steps until the instances of a fleet know each other.
const SETTLING_STEPS: usize = 12;
/// Run of an instance that starts during a test.
const NEW_RUN: u64 = 9_999;
/// Steps for which a request is kept from all targets after its third crash: twenty seconds.
const QUARANTINE_STEPS: usize = 81;
/// Copies of a request that arrive at the same moment.
const COPIES: usize = 9;

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

/// Has connections break under a request, each to another engine and 40 ms after the one before. A resumed attempt is
/// sent 5 ms after a break.
fn break_off(serving: &mut Serving, request: &PromptRequest, is_proven: bool) -> [BreakVerdict; 3] {
    let mut now = START;
    ["e-00", "e-01", "e-02"].map(|engine| {
        let sent_at = now + 5;
        now = now + 40;
        let target = TargetId::from(engine);
        let verdict = serving.record_broken_attempt(
            now,
            &BrokenAttempt {
                target: &target,
                fingerprint: request.fingerprint,
                parts: &request.parts,
                sent_at,
                is_proven,
            },
        );
        serving.record_break(now, &target);
        verdict
    })
}

fn is_refused(serving: &mut Serving, now: MonoMs, request: &PromptRequest) -> bool {
    serving.admit_prompt(now, request) == Err(Refusal::Poison)
}

/// Guards against a request whose crashes are all taken for a broken link, since they come close together.
#[test]
fn breaks_that_come_close_together_count_once_their_targets_are_gone() {
    for is_proven in [false, true] {
        let mut serving = instance(1, 9);
        let request = prompt_request(5_000);
        let verdicts = break_off(&mut serving, &request, is_proven);
        let before = is_refused(&mut serving, START + 200, &request);

        for (engine, revision) in ["e-00", "e-01", "e-02"].iter().zip(2..) {
            serving.apply_store_change(START + 3_600, &removal(engine, revision));
        }
        serving.tick(START + 3_700);

        assert!(
            verdicts.contains(&BreakVerdict::Unexplained),
            "{verdicts:?}"
        );
        assert!(!before);
        assert!(is_refused(&mut serving, START + 3_700, &request));
    }
}

/// Guards against a request that is refused since targets closed idle connections just when it was sent on them.
#[test]
fn breaks_at_targets_that_live_count_against_no_request() {
    let mut serving = instance(1, 9);
    let request = prompt_request(5_000);
    break_off(&mut serving, &request, false);

    let inquiries = serving.take_inquiries(START + 300);
    for inquiry in &inquiries {
        serving.record_inquiry(START + 300, inquiry, true, 0);
    }
    for (engine, revision) in ["e-00", "e-01", "e-02"].iter().zip(2..) {
        serving.apply_store_change(START + 3_600, &removal(engine, revision));
    }
    serving.tick(START + 3_700);

    assert_eq!(inquiries.len(), 3);
    assert!(!is_refused(&mut serving, START + 3_700, &request));
}

/// Guards against a popular request that is refused since three targets were replaced one after the other, each shortly
/// after an answer that only the end of its connection bounds.
#[test]
fn answers_of_targets_that_leave_count_against_no_request() {
    let mut serving = instance(1, 9);
    let request = prompt_request(5_000);
    let mut now = START;
    for (engine, revision) in ["e-00", "e-01", "e-02"].into_iter().zip(2..) {
        let target = TargetId::from(engine);
        serving.record_unproven_answer(now, request.fingerprint, &request.parts, &target, now);
        serving.apply_store_change(now, &change(engine, revision, TargetState::Draining));
        now = now + 1_100;

        for inquiry in serving.take_inquiries(now) {
            serving.record_inquiry(now, &inquiry, false, 3);
        }
        serving.apply_store_change(now, &removal(engine, revision + 10));
        serving.tick(now);
    }

    assert!(!is_refused(&mut serving, now, &request));
}

/// Guards against a request that is tried again by many instances at once, each of which decides by itself that it has
/// been kept from targets for long enough.
#[test]
fn a_request_that_crashes_targets_is_tried_again_by_few_instances() {
    for count in [9, 62] {
        let (mut fleet, addresses) = settled(count);
        let request = prompt_request(5_000);
        crash_three(&mut fleet, &addresses, &request);
        fleet.steps(QUARANTINE_STEPS);

        // Copies arrive at these instances at the same moment.
        let admitted = admitting(&mut fleet, &request);
        let tried = addresses.iter().take(COPIES);
        let tried = tried.filter(|address| admitted.contains(address));

        // Operators excuse three.
        let tried = tried.count();
        assert!(tried <= 3, "{count}: {tried}");
        fleet.steps(QUARANTINE_STEPS / 2);
        let admitted = admitting(&mut fleet, &request).len();
        assert_eq!(admitted, addresses.len(), "{count}");
    }
}

/// Guards against a second crash in each trial of a request that has crashed targets before.
#[test]
fn a_request_that_crashed_targets_is_sent_once_in_a_trial() {
    let (mut fleet, addresses) = settled(9);
    let request = prompt_request(5_000);
    let repeat = PromptRequest {
        is_repeat: true,
        ..request.clone()
    };
    crash_three(&mut fleet, &addresses, &request);

    fleet.steps(2 * QUARANTINE_STEPS);

    assert_eq!(admitting(&mut fleet, &request).len(), addresses.len());
    assert!(admitting(&mut fleet, &repeat).is_empty());
}

/// Guards against a popular request that all instances refuse, since three targets lost power together while they ran
/// it.
#[test]
fn a_request_that_targets_ran_when_they_lost_power_together_is_not_refused() {
    for count in [9, 62] {
        let (mut fleet, addresses) = settled(count);
        let request = prompt_request(5_000);
        let now = fleet.now;

        let engines = ["e-00", "e-01", "e-02"].map(TargetId::from);
        for (number, (address, target)) in (0..).zip(addresses.iter().zip(&engines)) {
            let serving = fleet.alive.get_mut(address).unwrap();
            let attempt = BrokenAttempt {
                target,
                fingerprint: request.fingerprint,
                parts: &request.parts,
                sent_at: now + 20 * number,
                is_proven: true,
            };
            // Notices of the same moment arrive up to some ten ms apart.
            serving.record_broken_attempt(now + 100 + 10 * number, &attempt);
            fleet.now = now + 100 + 20 * number;
            fleet.deliver_news();
        }

        assert_eq!(admitting(&mut fleet, &request).len(), addresses.len());
    }
}

/// Guards against breaks that stay unexplained since their targets were asked for only while none could be reached.
#[test]
fn targets_are_asked_for_once_their_service_is_in_reach_again() {
    let mut serving = instance(1, 9);
    break_off(&mut serving, &prompt_request(5_000), false);
    for engine in ["e-03", "e-04", "e-05"] {
        serving.record_connection_failure(START + 130, &TargetId::from(engine));
    }

    let mut asked_for = |from_ms, to_ms: u64| -> usize {
        let times = (from_ms..to_ms).step_by(50);
        times
            .map(|at| serving.take_inquiries(START + at).len())
            .sum()
    };
    let while_out = asked_for(150, 3_000);
    serving.record_connected(START + 4_000, &TargetId::from("e-06"));
    let inquiries = serving.take_inquiries(START + 4_100).len();

    assert_eq!((while_out, inquiries), (0, 3));
}

/// Guards against requests that are condemned by an instance which reaches neither their targets nor others.
#[test]
fn breaks_at_an_instance_that_reaches_few_targets_count_against_no_request() {
    let mut serving = instance(1, 9);
    let request = prompt_request(5_000);
    break_off(&mut serving, &request, false);

    for at in [300, 600, 900, 1_200, 1_500] {
        for inquiry in serving.take_inquiries(START + at) {
            serving.record_inquiry(START + at, &inquiry, false, 1);
        }
    }
    for at in [2_000, 9_000] {
        serving.tick(START + at);
        assert!(!is_refused(&mut serving, START + at, &request), "{at}");
    }

    let verdicts = serving.take_break_verdicts();
    assert_eq!(verdicts, [BreakVerdict::Unsolved; 3]);
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
    for count in [9, 62] {
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
