//! What a leaving instance still takes, and when it may exit.

use {
    super::{
        fixture::{GROUP, SHUTDOWN, START, instance, member, place, prompt_request},
        fleet_fixture::Fleet,
    },
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        fleet::Frame,
        shutdown::{AnswerDurations, Shutdown},
    },
};

const ROUTE: &str = "r-stream";
/// Deadline of a request that ends long after the exit.
const LATE: MonoMs = MonoMs(START.0 + 60_000);

/// Guards against requests that are cut by the exit though they were sent when callers already knew of other instances.
#[test]
fn after_the_announcement_only_what_ends_before_the_exit_is_taken() {
    let shutdown = Shutdown::begin(START, SHUTDOWN);
    let announced_at = shutdown.announced_at();

    assert!(!shutdown.admits(announced_at, LATE, None));
    assert!(!shutdown.admits(announced_at, LATE, Some(1)));
    assert!(shutdown.admits(announced_at, shutdown.exits_at(), Some(10_000)));
}

/// Guards against refusals of requests of callers that can't know yet of the shutdown, and that would be finished.
#[test]
fn before_the_announcement_what_is_usually_finished_by_the_exit_is_taken() {
    let shutdown = Shutdown::begin(START, SHUTDOWN);
    let left_ms = shutdown.exits_at().since(START);

    assert!(shutdown.admits(START, LATE, None));
    assert!(shutdown.admits(START, LATE, Some(left_ms)));
    assert!(!shutdown.admits(START, LATE, Some(left_ms + 1)));
}

/// Guards against a request that is read after the decision to exit.
#[test]
fn nothing_is_taken_once_connections_close() {
    let mut shutdown = Shutdown::begin(START, SHUTDOWN);

    shutdown.close();

    assert!(!shutdown.admits(START, START + 1, Some(1)));
}

/// Guards against an instance that exits while requests are open, and against one that stays though it is idle.
#[test]
fn an_instance_exits_when_it_is_idle_and_callers_know_of_others() {
    let shutdown = Shutdown::begin(START, SHUTDOWN);

    assert!(!shutdown.is_over(START + 3_000, 0));
    assert!(shutdown.is_over(START + 3_600, 0));
    assert!(!shutdown.is_over(START + 3_600, 1));
    assert!(shutdown.is_over(shutdown.exits_at(), 1));
}

/// Guards against refused callers that wait although another instance is ready, or that come back to nobody.
#[test]
fn a_refused_caller_waits_only_while_all_instances_leave() {
    let mut serving = instance(1, 2);
    let no_configuration = |_: &str| None;
    serving.leave(START, SHUTDOWN);
    let now = START + 3_000;

    let alone = serving.admit_before_exit(now, ROUTE, LATE);
    let peer = Frame {
        member: Some(member(2, 8_000)),
        ..Frame::default()
    };
    serving.on_frame(now, 2, peer, no_configuration);
    let beside_another = serving.admit_before_exit(now, ROUTE, LATE);

    assert!(alone.is_err_and(|retry_after_ms| retry_after_ms > 0));
    assert_eq!(beside_another, Err(0));
}

/// Guards against an estimate that forgets long answers at once, or never.
#[test]
fn the_longest_recent_answer_of_a_route_counts_for_a_limited_time() {
    let mut durations = AnswerDurations::default();
    durations.record(START, ROUTE, 4_000);
    durations.record(START, ROUTE, 1_000);

    assert_eq!(durations.longest_ms(START + 29_000, ROUTE), Some(4_000));
    assert_eq!(durations.longest_ms(START + 61_000, ROUTE), None);
    assert_eq!(durations.longest_ms(START, "r-other"), None);
}

/// Has some instances of a fleet leave, and has the first of these place long prompts until all engines are busy, and the
/// second one a short prompt. Returns whether the short one was refused.
fn second_leaving_instance_knows_of_the_first(mut fleet: Fleet, leaving: usize) -> bool {
    fleet.steps(24);
    let addresses: Vec<_> = fleet.alive.keys().copied().take(leaving).collect();
    for address in &addresses {
        let serving = fleet.alive.get_mut(address).unwrap();
        serving.leave(fleet.now, SHUTDOWN);
    }
    fleet.steps(6);
    let now = fleet.now;
    let decider = |fleet: &Fleet, index: usize| {
        let own = addresses[index];
        let deciders = fleet.alive[&own].deciders(GROUP);
        deciders.first().copied().unwrap_or(own)
    };
    let first = decider(&fleet, 0);
    let first = fleet.alive.get_mut(&first).unwrap();
    place(first, now, 400_000).unwrap();
    while place(first, now, 400_000).is_ok() {}
    place(first, now, 5_000).unwrap_err();
    fleet.deliver_news();
    let second = decider(&fleet, 1);
    let second = fleet.alive.get_mut(&second).unwrap();
    let request = prompt_request(5_000);
    let job = second.admit_prompt(now, &request).unwrap();
    second.choose_engines(now, job, GROUP, &request).is_err()
}

/// Guards against a leaving instance that overloads engines since nobody tells it of the prompts of others.
#[test]
fn a_leaving_instance_knows_what_others_place() {
    assert!(second_leaving_instance_knows_of_the_first(
        Fleet::start(9),
        2
    ));
}

/// Guards against instances that all leave together and each choose the same engines for their last prompts.
#[test]
fn instances_that_all_leave_know_what_the_others_place() {
    assert!(second_leaving_instance_knows_of_the_first(
        Fleet::start(9),
        9
    ));
    assert!(second_leaving_instance_knows_of_the_first(
        Fleet::start(62),
        62
    ));
}

/// Guards against leaving instances that choose engines blindly because one that has just started, and knows no target
/// yet, counts as the only one that stays.
#[test]
fn instances_that_leave_beside_a_starting_one_know_what_the_others_place() {
    let mut fleet = Fleet::start(62);
    let starting = *fleet.alive.keys().last().unwrap();
    fleet.steps(24);
    fleet.restart_unready(starting, 1_000);

    assert!(second_leaving_instance_knows_of_the_first(fleet, 61));
}
