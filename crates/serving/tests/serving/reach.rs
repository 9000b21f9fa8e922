//! When a service counts as out of reach of one instance.

use {
    super::fixture::START,
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        names::{ServiceName, TargetId},
        reach::OwnReach,
    },
};

/// Number of targets of the service.
const TARGETS: usize = 14;

fn engines() -> ServiceName {
    "engines".into()
}

fn target(number: usize) -> TargetId {
    format!("e-{number:02}").as_str().into()
}

/// Has connections to these targets fail, and returns the resulting state.
fn failing(numbers: impl Iterator<Item = usize>) -> OwnReach {
    let mut reach = OwnReach::default();
    for number in numbers {
        reach.record_failed(START, &engines(), &target(number), TARGETS);
    }
    reach
}

/// Guards against an instance that stops to send requests itself, since two targets have crashed at the same time.
#[test]
fn two_failed_targets_do_not_put_a_service_out_of_reach() {
    let mut reach = failing(0..2);
    // The same two again prove nothing more.
    reach.record_failed(START + 100, &engines(), &target(0), TARGETS);
    reach.record_failed(START + 200, &engines(), &target(1), TARGETS);

    assert!(!reach.is_out("engines"));
}

/// Guards against a service whose targets crash one after the other, and that counts as out of reach though connections
/// to others are opened in between.
#[test]
fn only_failures_in_a_row_put_a_service_out_of_reach() {
    let mut reach = failing(0..2);
    reach.record_connected(START + 100, &engines(), &target(9), TARGETS);
    reach.record_failed(START + 200, &engines(), &target(2), TARGETS);
    let after_success = reach.is_out("engines");

    for number in 3..5 {
        reach.record_failed(START + 300, &engines(), &target(number), TARGETS);
    }

    assert_eq!((after_success, reach.is_out("engines")), (false, true));
}

#[test]
fn a_service_is_in_reach_again_once_a_connection_is_opened() {
    let mut reach = failing(0..3);

    let is_news = reach.record_connected(START + 100, &engines(), &target(0), TARGETS);

    assert_eq!((is_news, reach.is_out("engines")), (true, false));
}

/// Guards against an instance that reaches four of fourteen targets and sends them all its requests, one after the other
/// three in four fail.
#[test]
fn a_service_of_which_most_targets_fail_stays_out_of_reach() {
    let mut reach = failing(0..10);

    reach.record_connected(START + 100, &engines(), &target(12), TARGETS);
    let while_most_fail = reach.is_out("engines");
    reach.record_connected(START + 5_000, &engines(), &target(12), TARGETS);

    assert_eq!((while_most_fail, reach.is_out("engines")), (true, false));
}

/// Guards against calls that wait for several timeouts each, though nothing of another service can be reached either.
#[test]
fn one_failure_is_enough_while_another_service_is_out_of_reach() {
    let mut reach = failing(0..3);
    let calls: ServiceName = "calls".into();

    reach.record_failed(START, &calls, &"p-1".into(), 3);

    assert!(reach.is_out("calls"));
}

/// Guards against streams that are given up though only new connections are refused: old ones live on.
#[test]
fn open_connections_count_as_silent_only_if_no_target_sends_anything() {
    let mut quiet = failing(0..3);
    let mut alive = failing(0..3);
    quiet.record_heard(MonoMs(START.0 - 1), "engines");
    alive.record_heard(START + 100, "engines");

    let at_once = quiet.are_old_connections_silent(START, "engines");
    let later =
        [&quiet, &alive].map(|reach| reach.are_old_connections_silent(START + 800, "engines"));

    assert_eq!((at_once, later), (false, [true, false]));
}

/// Guards against connections to a sound service that are opened over and over while another service is out of reach.
#[test]
fn a_service_in_reach_is_probed_once_while_another_is_out_of_reach() {
    let mut reach = failing(0..3);
    let calls: ServiceName = "calls".into();
    let mut probes = [0, 0];

    for ms in (0..2_000).step_by(50) {
        let now = START + ms;
        if reach.take_probe(now, &engines()).is_some() {
            probes[0] += 1;
            reach.record_failed(now, &engines(), &target(probes[0]), TARGETS);
        }
        if reach.take_probe(now, &calls).is_some() {
            probes[1] += 1;
            reach.record_connected(now, &calls, &"p-1".into(), 3);
        }
    }

    assert_eq!(probes, [8, 1]);
}
