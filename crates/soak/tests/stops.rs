//! Checks of stops: which requests a stop may cut off, how long it takes, and how series of stops are drawn.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::ACCOUNT,
    whinlatch_soak::{
        Evidence, Excuse, InstanceRun, InstanceStop, Outcome, Plan, RequestKind, RequestRecord,
        Run, RunParameters, Shutdowns, Trouble, check_promises, count_excused,
    },
};

const PATH: &str = "/stream/0";
const CUT: &str = "planned work cuts nothing off";
const STOPPED: InstanceRun = InstanceRun {
    instance: 0,
    starts: 1,
};
const OTHER: InstanceRun = InstanceRun {
    instance: 1,
    starts: 1,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn refused(retry_after: &str) -> Outcome {
    Outcome::Answered {
        status: 503,
        is_sealed: false,
        is_whole: true,
        body: "this instance is leaving: use another one".to_owned(),
        retry_after: Some(retry_after.to_owned()),
    }
}

/// A request with times in ms from the signal, which comes 10 s after the start.
struct Played {
    id: &'static str,
    to: InstanceRun,
    sent_ms: u64,
    ended_ms: u64,
    kind: RequestKind,
    outcome: Outcome,
    has_run: bool,
}

impl Played {
    fn cut(sent_ms: u64, ended_ms: u64) -> Self {
        Self {
            id: "9c41",
            to: STOPPED,
            sent_ms,
            ended_ms,
            kind: RequestKind::Safe,
            outcome: Outcome::Closed,
            has_run: true,
        }
    }
}

/// Evidence with a stop after which the process exited at a time in ms.
fn evidence(played: Vec<Played>, exited_ms: u64, are_timed: bool) -> Evidence {
    let signalled_at = Instant::now() + ms(10_000);
    let mut runs = HashMap::new();
    let mut requests = Vec::new();
    for request in played {
        let sent_at = signalled_at + ms(request.sent_ms);
        if request.has_run {
            let run = Run {
                target: "i-0".to_owned(),
                path: PATH.to_owned(),
                account: ACCOUNT.to_owned(),
                has_key: false,
                at: sent_at,
            };
            runs.insert(request.id.to_owned(), vec![run]);
        }
        requests.push(RequestRecord {
            id: request.id.to_owned(),
            kind: request.kind,
            path: PATH.to_owned(),
            run: Some(request.to),
            accepted_by: request.to,
            on_reused_connection: false,
            announces_leaving: false,
            sent_at,
            ended_at: signalled_at + ms(request.ended_ms),
            outcome: request.outcome,
        });
    }
    let stop = InstanceStop {
        run: STOPPED,
        signalled_at,
        exited_at: Some(signalled_at + ms(exited_ms)),
    };
    Evidence {
        is_planned: true,
        requests,
        runs,
        orders: Vec::new(),
        limited: Vec::new(),
        shutdowns: Some(Shutdowns {
            stops: vec![stop],
            are_timed,
        }),
        max_response_time: None,
    }
}

fn broken_promises(evidence: &Evidence) -> Vec<&'static str> {
    let findings = check_promises(evidence);
    findings.iter().map(|finding| finding.promise).collect()
}

/// Guards against a soak that passes over requests which the end of a process cuts off.
#[test]
fn a_request_that_the_exit_cuts_off_is_found() {
    let too_late = evidence(vec![Played::cut(3_100, 5_700)], 5_700, false);
    let before_last_sixth = evidence(vec![Played::cut(2_900, 4_900)], 4_900, false);
    let of_another_run = Played {
        to: OTHER,
        ..Played::cut(2_900, 5_700)
    };

    assert_eq!(broken_promises(&too_late), [CUT]);
    assert_eq!(broken_promises(&before_last_sixth), [CUT]);
    let evidence = evidence(vec![of_another_run], 5_700, false);
    assert_eq!(broken_promises(&evidence), [CUT]);
}

#[test]
fn a_request_whose_target_is_at_work_to_the_end_of_the_grace_time_is_excused_with_its_memory() {
    let evidence = evidence(vec![Played::cut(2_900, 5_700)], 5_700, false);
    let mut at_work = evidence.clone();
    if let Some(runs) = at_work.runs.get_mut("9c41") {
        runs[0].at += ms(1_000);
    }

    let order = |id: &str| format!(r#"{{"Operation":"reserve","Id":"{id}"}}"#);

    at_work.orders = vec![vec![order("t1")], vec![order("t1")]];
    assert!(broken_promises(&at_work).is_empty());
    at_work.orders.push(vec![order("t2")]);
    assert_eq!(broken_promises(&at_work), ["memory comes back"]);
    assert_eq!(count_excused(&at_work)[&Excuse::OutlastsGrace], 1);
    assert_eq!(broken_promises(&evidence), [CUT]);
}

#[test]
fn a_request_whose_time_is_over_is_excused_but_for_calls_where_times_are_checked() {
    let stream = Played {
        kind: RequestKind::Stream,
        ..Played::cut(200, 4_190)
    };
    let streams = evidence(vec![stream], 4_200, true);
    let calls = |are_timed| evidence(vec![Played::cut(200, 4_190)], 4_200, are_timed);

    assert!(broken_promises(&streams).is_empty());
    assert_eq!(count_excused(&streams)[&Excuse::TimeOver], 1);
    assert!(broken_promises(&calls(false)).is_empty());
    assert_eq!(broken_promises(&calls(true)), [CUT]);
}

#[test]
fn only_a_request_that_reached_no_target_and_ends_at_once_crosses_a_close() {
    let crossing = || Played {
        has_run: false,
        ..Played::cut(3_600, 3_610)
    };
    let held = Played {
        ended_ms: 4_700,
        ..crossing()
    };
    let passed_on = Played {
        has_run: true,
        ..crossing()
    };

    assert!(broken_promises(&evidence(vec![crossing()], 3_620, false)).is_empty());
    assert_eq!(broken_promises(&evidence(vec![held], 4_700, true)), [CUT]);
    let evidence = evidence(vec![passed_on], 3_620, true);
    assert_eq!(broken_promises(&evidence), [CUT]);
}

/// Guards against callers that wait for the next run of an instance while others serve.
#[test]
fn a_refusal_without_another_instance_is_found_if_one_is_ready() {
    let served = || Played {
        id: "9c42",
        to: OTHER,
        sent_ms: 0,
        ended_ms: 10,
        kind: RequestKind::Safe,
        outcome: Outcome::Answered {
            status: 200,
            is_sealed: true,
            is_whole: true,
            body: "9c42".to_owned(),
            retry_after: None,
        },
        has_run: true,
    };
    let refusal = |retry_after| Played {
        outcome: refused(retry_after),
        has_run: false,
        ..Played::cut(3_100, 3_101)
    };
    let found = |requests, are_timed| broken_promises(&evidence(requests, 4_000, are_timed));

    let promise = "a leaving instance names another";
    assert_eq!(found(vec![served(), refusal("2.00")], true), [promise]);
    assert!(found(vec![served(), refusal("2.00")], false).is_empty());
    assert!(found(vec![served(), refusal("0.00")], true).is_empty());
    assert!(found(vec![refusal("2.00")], true).is_empty());
}

/// Guards against processes that stay until the kill though nothing is open.
#[test]
fn an_exit_long_after_the_last_request_is_found() {
    let found = |exited_ms| {
        let refusal = Played {
            outcome: refused("0.00"),
            has_run: false,
            ..Played::cut(3_400, 3_410)
        };
        broken_promises(&evidence(vec![refusal], exited_ms, true))
    };

    let promise = "an instance exits once it has nothing to do";
    assert!(found(4_900).is_empty());
    assert_eq!(found(5_700), [promise]);
}

#[test]
fn stops_are_drawn_in_series_over_all_instances_beside_the_same_other_troubles() {
    let without = RunParameters {
        length_ms: 10_000,
        troubles_per_s: 2.0,
        restarts_per_s: 0.0,
        notices_per_s: 0.0,
        shutdowns_per_s: 0.0,
        instances: 5,
        targets: 8,
    };
    let with = RunParameters {
        shutdowns_per_s: 2.0,
        ..without
    };
    let troubles = |seed, parameters| -> Vec<(u64, Trouble)> {
        let steps = Plan::draw(seed, parameters).steps;
        steps
            .iter()
            .map(|step| (step.at_ms, step.trouble))
            .collect()
    };

    for seed in 1..40 {
        let all = troubles(seed, with);
        let others = troubles(seed, without);
        assert_eq!(all, troubles(seed, with));
        assert!(others.iter().all(|trouble| all.contains(trouble)));
        let stops = |instance| {
            let stop = Trouble::Terminate(instance);
            all.iter().filter(|(_, trouble)| *trouble == stop).count()
        };
        assert!((0..5).all(|instance| stops(instance) > 0), "seed {seed}");
    }
}
