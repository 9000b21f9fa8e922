//! Each check of the soak test reports a finding when its promise is broken.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::ACCOUNT,
    whinlatch_soak::{
        Evidence, InstanceRun, LimitedPeriod, Outcome, Plan, RequestKind, RequestRecord, Run,
        RunParameters, Trouble, check_promises,
    },
};

const ID: &str = "9c41";
const PATH: &str = "/call/label";
const RUN: InstanceRun = InstanceRun {
    instance: 0,
    starts: 1,
};

fn answered(status: u16, body: &str) -> Outcome {
    Outcome::Answered {
        status,
        is_sealed: status == 200,
        is_whole: true,
        body: body.to_owned(),
        retry_after: None,
    }
}

fn request(kind: RequestKind, outcome: Outcome) -> RequestRecord {
    let sent_at = Instant::now();
    RequestRecord {
        id: ID.to_owned(),
        kind,
        path: PATH.to_owned(),
        run: Some(RUN),
        accepted_by: RUN,
        on_reused_connection: false,
        announces_leaving: false,
        sent_at,
        ended_at: sent_at + Duration::from_millis(20),
        outcome,
    }
}

fn run_at(target: &str, path: &str) -> Run {
    Run {
        target: target.to_owned(),
        path: path.to_owned(),
        account: ACCOUNT.to_owned(),
        has_key: false,
        at: Instant::now(),
    }
}

fn call_run(target: &str) -> Run {
    run_at(target, PATH)
}

fn evidence(requests: Vec<RequestRecord>, runs: Vec<Run>) -> Evidence {
    Evidence {
        is_planned: true,
        requests,
        runs: HashMap::from([(ID.to_owned(), runs)]),
        orders: Vec::new(),
        limited: Vec::new(),
        shutdowns: None,
        max_response_time: None,
    }
}

fn broken_promises(evidence: &Evidence) -> Vec<&'static str> {
    let findings = check_promises(evidence);
    findings.iter().map(|finding| finding.promise).collect()
}

#[test]
fn a_call_that_is_served_once_breaks_no_promise() {
    let call = request(RequestKind::Unsafe, answered(200, ID));

    assert!(broken_promises(&evidence(vec![call], vec![call_run("i-1")])).is_empty());
}

#[test]
fn a_call_that_runs_twice_is_found() {
    let call = request(RequestKind::Unsafe, answered(200, ID));
    let runs = vec![call_run("i-1"), call_run("i-2")];

    assert_eq!(
        broken_promises(&evidence(vec![call], runs)),
        ["runs as often as it may"]
    );
}

#[test]
fn a_refusal_of_a_request_that_ran_is_found() {
    let call = request(RequestKind::Unsafe, answered(503, ""));

    let runs = vec![call_run("i-1")];

    assert_eq!(
        broken_promises(&evidence(vec![call], runs)),
        ["a refusal is true"]
    );
}

#[test]
fn an_answer_to_another_request_is_found() {
    let call = request(RequestKind::Unsafe, answered(200, "another"));

    let runs = vec![call_run("i-1")];

    let promise = "an answer is whole and one's own";
    assert_eq!(broken_promises(&evidence(vec![call], runs)), [promise]);
}

#[test]
fn a_success_without_a_seal_is_found() {
    let outcome = Outcome::Answered {
        status: 200,
        is_sealed: false,
        is_whole: true,
        body: ID.to_owned(),
        retry_after: None,
    };

    let found = broken_promises(&evidence(
        vec![request(RequestKind::Safe, outcome)],
        Vec::new(),
    ));

    assert_eq!(found, ["an answer is whole and one's own"]);
}

#[test]
fn a_stream_that_ends_early_or_repeats_an_event_is_found() {
    let event = format!("id: 1\ndata: {ID} 1\n\n");
    let truncated = request(RequestKind::Stream, answered(200, &event));
    let repeated = request(
        RequestKind::Stream,
        answered(200, &format!("{event}{event}")),
    );
    let runs = || vec![run_at("i-1", PATH)];

    let promise = "an answer is whole and one's own";
    assert_eq!(
        broken_promises(&evidence(vec![truncated], runs())),
        [promise]
    );
    assert_eq!(
        broken_promises(&evidence(vec![repeated], runs())),
        [promise]
    );
}

#[test]
fn a_published_route_that_is_unknown_is_found() {
    let call = request(RequestKind::Safe, answered(404, ""));

    let found = broken_promises(&evidence(vec![call], Vec::new()));

    assert_eq!(found, ["a published route is served"]);
}

#[test]
fn a_request_that_reaches_a_target_under_another_account_is_found() {
    let call = request(RequestKind::Unsafe, answered(200, ID));
    let run = Run {
        account: "others".to_owned(),
        ..call_run("i-1")
    };

    let found = broken_promises(&evidence(vec![call], vec![run]));

    assert_eq!(found, ["a request reaches targets unchanged"]);
}

#[test]
fn a_request_that_is_cut_off_by_planned_work_is_found_and_by_faults_is_not() {
    let call = request(RequestKind::Unsafe, Outcome::Closed);
    let mut evidence = evidence(vec![call], vec![call_run("i-1")]);

    assert_eq!(
        broken_promises(&evidence),
        ["planned work cuts nothing off"]
    );
    evidence.is_planned = false;
    assert!(broken_promises(&evidence).is_empty());
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_no_finding() {
    let call = RequestRecord {
        on_reused_connection: true,
        ..request(RequestKind::Unsafe, Outcome::Closed)
    };

    assert!(broken_promises(&evidence(vec![call], Vec::new())).is_empty());
}

#[test]
fn a_request_to_a_leaving_target_is_found_on_the_instance_that_got_the_announcement() {
    let leaving = RequestRecord {
        announces_leaving: true,
        ..request(RequestKind::Safe, answered(200, ID))
    };
    let later = |run| RequestRecord {
        id: "9c42".to_owned(),
        run: Some(run),
        sent_at: leaving.ended_at + Duration::from_millis(1),
        ..request(RequestKind::Safe, answered(200, "9c42"))
    };
    let restarted = InstanceRun { starts: 2, ..RUN };
    let found = |run| {
        let mut evidence = evidence(vec![leaving.clone(), later(run)], vec![call_run("i-1")]);
        evidence
            .runs
            .insert("9c42".to_owned(), vec![call_run("i-1")]);
        broken_promises(&evidence)
    };

    assert_eq!(found(RUN), ["a leaving target gets nothing new"]);
    assert!(found(restarted).is_empty());
}

#[test]
fn an_exceeded_limit_is_found() {
    let began = Instant::now();
    let every = |ms: u64| LimitedPeriod {
        per_s: 1.0,
        arrived_at: (0..40)
            .map(|n| began + Duration::from_millis(n * ms))
            .collect(),
    };
    let served = request(RequestKind::Unsafe, answered(200, ID));
    let found = |limited| {
        broken_promises(&Evidence {
            limited: vec![limited],
            ..evidence(vec![served.clone()], vec![call_run("i-1")])
        })
    };

    assert_eq!(found(every(330)), ["a limit is kept"]);
    assert!(found(every(500)).is_empty());
}

#[test]
fn a_late_response_is_found_if_times_are_checked() {
    let call = request(RequestKind::Unsafe, answered(200, ID));
    let mut evidence = evidence(vec![call], vec![call_run("i-1")]);
    evidence.max_response_time = Some(Duration::from_millis(10));

    assert_eq!(broken_promises(&evidence), ["an answer is in time"]);
}

#[test]
fn a_run_of_a_request_that_no_caller_sent_is_found() {
    let evidence = evidence(Vec::new(), vec![call_run("i-1")]);

    assert_eq!(broken_promises(&evidence), ["nothing is made up"]);
}

/// A run of an instance serves a route that only version 3 has and, after that, one that only version 2 has.
#[test]
fn a_configuration_that_reverts_is_found() {
    let newer = request(RequestKind::Probe { version: 3 }, answered(200, ID));
    let later = newer.ended_at + Duration::from_millis(1);
    let older = RequestRecord {
        sent_at: later,
        ended_at: later,
        ..request(RequestKind::Probe { version: 2 }, answered(200, ID))
    };

    let found = broken_promises(&evidence(vec![newer, older], Vec::new()));

    assert_eq!(found, ["a configuration never reverts"]);
}

#[test]
fn memory_that_is_never_released_is_found() {
    let order = |operation: &str, id: &str| format!(r#"{{"Operation":"{operation}","Id":"{id}"}}"#);
    let mut evidence = evidence(Vec::new(), Vec::new());
    evidence.runs.clear();
    evidence.orders = vec![vec![order("reserve", "t1"), order("release", "t1")]];

    assert!(broken_promises(&evidence).is_empty());
    evidence.orders[0].push(order("reserve", "t2"));
    assert_eq!(broken_promises(&evidence), ["memory comes back"]);
}

#[test]
fn a_seed_draws_the_same_plan_each_time_and_every_third_only_planned_work() {
    let parameters = RunParameters {
        length_ms: 10_000,
        troubles_per_s: 2.0,
        restarts_per_s: 0.0,
        notices_per_s: 0.0,
        shutdowns_per_s: 0.0,
        instances: 5,
        targets: 8,
    };
    let drawn = |seed| serde_json::to_string(&Plan::draw(seed, parameters)).unwrap();
    let with_restarts = RunParameters {
        restarts_per_s: 1.0,
        ..parameters
    };

    assert_eq!(drawn(7), drawn(7));
    assert_ne!(drawn(7), drawn(8));
    let steps = |parameters| {
        Plan::draw(7, parameters)
            .steps
            .into_iter()
            .map(|step| step.trouble)
    };
    let mut others: Vec<Trouble> = steps(with_restarts).collect();
    others.retain(|trouble| !matches!(trouble, Trouble::Restart(_) | Trouble::Overwrite(_)));
    assert_eq!(others, steps(parameters).collect::<Vec<_>>());
    assert_eq!(steps(with_restarts).count(), others.len() + 10);
    assert!(Plan::draw(9, parameters).is_planned);
    assert!(!Plan::draw(10, parameters).is_planned);
}
