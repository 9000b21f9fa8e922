//! Second attempts of late calls.

use {
    super::fixture::{START, address_of, change, member, rule, service as engine_service},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        CallRequest, Refusal, Serving,
        calls::{HedgeDelay, HedgeDenial, HedgeLimit, can_be_hedged},
        catalog::{Configuration, Limits, RetryPolicy, Route, Service},
        mechanism::{DisabledMechanisms, Mechanism},
        names::{ServiceName, TargetId},
        retries::FleetBudgetRule,
        targets::{CallLoads, TargetChange, TargetEntry, TargetState},
    },
};

/// Slots of each target of the plain service.
const SLOTS: u32 = 6;
/// Usual answer time of the plain service, in ms.
const ANSWER_MS: f64 = 30.0;

fn service() -> ServiceName {
    ServiceName::from("plain")
}

/// A route to idempotent calls of the plain service, which may reach two targets.
fn route() -> Route {
    Route {
        name: "r-safe".to_owned(),
        host: "calls.example".to_owned(),
        prefix: "/safe/".to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        timeout_ms: 2_500,
        objective_ms: 150,
        priority: 1,
        shares: Vec::new(),
        max_attempts: 2,
        public: false,
        pause_limit_ms: None,
        patience_ms: 2_500,
    }
}

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        id: name.into(),
        started_at_ms: None,
        service: service(),
        address: address_of(name),
        failure_domain: "east".into(),
        slots: SLOTS,
        state: TargetState::Ready,
        cold_remaining_ms: 0,
    }
}

/// An instance with targets of the plain service, named `p-0` and up.
fn instance_with(targets: usize, rule: FleetBudgetRule) -> Serving {
    let mut serving = Serving::new(member(1, 7_000), rule);
    let plain = Service {
        name: service(),
        max_connections: 100,
        engine: None,
        cold_start: None,
    };
    let services = vec![engine_service(), plain];
    let configuration = Configuration::new(1, Limits::default(), Vec::new(), services, Vec::new());
    serving.activate_configuration(configuration, "{}".to_owned());
    for number in 0..targets {
        let name = format!("p-{number}");
        let published = TargetChange {
            entry: Some(entry(&name)),
            ..change(&name, 1, TargetState::Ready)
        };
        serving.apply_store_change(START, &published);
    }
    serving
}

fn instance(targets: usize) -> Serving {
    instance_with(targets, rule())
}

fn hedge(serving: &mut Serving, tried: &[TargetId]) -> Result<TargetId, HedgeDenial> {
    let service = service();
    let request = CallRequest {
        parts: &[],
        service: &service,
        fingerprint: 7,
        tried,
        is_repeat: true,
    };
    let placed = serving.place_hedge(START, &request);
    placed.map(|placement| placement.target.id)
}

/// Sends a call to a target. Returns the target.
fn send(serving: &mut Serving) -> TargetId {
    let service = service();
    let request = CallRequest {
        parts: &[],
        service: &service,
        fingerprint: 7,
        tried: &[],
        is_repeat: false,
    };
    let placed = serving.place_call(START, &request);
    placed.unwrap().target.id
}

/// Serves calls whose answers took these times, in ms.
fn serve(serving: &mut Serving, times_ms: impl IntoIterator<Item = f64>) {
    for took_ms in times_ms {
        let target = send(serving);
        serving.record_call_ended(START, &target, took_ms, false);
    }
}

/// Guards against hedging calls that are on time anyway, and against hedging them too late to be on time.
#[test]
fn the_delay_is_the_late_answer_time_within_bounds_of_the_objective() {
    let delay_ms = |late_answer_ms| HedgeDelay::new(late_answer_ms, 200).ms;

    assert_eq!(delay_ms(Some(80.0)), 80);
    assert_eq!(delay_ms(Some(10.0)), 50);
    assert_eq!(delay_ms(Some(900.0)), 150);
    assert_eq!(delay_ms(None), 100);
}

/// Load: answers of 30 ms, one in forty of which takes 400 ms.
#[test]
fn the_delay_follows_the_answer_times_of_the_service() {
    let mut serving = instance(2);
    let before = serving.hedge_delay(START, &service(), &route(), 1).unwrap();

    serve(&mut serving, [ANSWER_MS; 39]);
    serve(&mut serving, [400.0]);

    let late_ms = serving.late_answer_ms(START, &service()).unwrap();
    let delay = serving.hedge_delay(START, &service(), &route(), 1).unwrap();
    assert_eq!((before.ms, before.late_answer_ms), (75, None));
    assert!((30.0..60.0).contains(&late_ms), "{late_ms}");
    assert_eq!(delay.late_answer_ms, Some(late_ms));
    assert_eq!(delay.ms, late_ms.round() as u64);
}

/// Guards against answer times that failed calls and calls of other services shift.
#[test]
fn only_answers_of_the_service_count_towards_its_late_answer_time() {
    let mut serving = instance(2);

    for _ in 0..20 {
        let target = send(&mut serving);
        serving.record_call_ended(START, &target, 900.0, true);
    }

    assert_eq!(serving.late_answer_ms(START, &service()), None);
    serve(&mut serving, [ANSWER_MS; 20]);
    assert!(serving.late_answer_ms(START, &service()).unwrap() < 60.0);
    assert_eq!(serving.late_answer_ms(START, "engines"), None);
}

/// Guards against two runs of a request that may run at most once, and against more attempts than a route allows.
#[test]
fn only_idempotent_calls_with_an_attempt_left_are_hedged() {
    let with_policy = |retry_policy| Route {
        retry_policy,
        ..route()
    };
    let single = Route {
        max_attempts: 1,
        ..route()
    };

    assert!(can_be_hedged(&route(), 1));
    assert!(!can_be_hedged(&route(), 2));
    assert!(!can_be_hedged(&single, 1));
    for policy in [
        RetryPolicy::AtMostOnce,
        RetryPolicy::AtMostOnceStream,
        RetryPolicy::ResumableStream,
    ] {
        assert!(!can_be_hedged(&with_policy(policy), 1), "{policy:?}");
    }
}

/// Guards against second attempts at engines, where requests are expensive.
#[test]
fn requests_to_engines_are_not_hedged() {
    let serving = instance(2);

    let delay = serving.hedge_delay(START, &"engines".into(), &route(), 1);

    assert_eq!(delay, None);
}

#[test]
fn no_call_is_hedged_without_the_mechanism() {
    let mut serving = instance(2);

    serving.disable_mechanisms(DisabledMechanisms::from_iter([Mechanism::Hedging]));

    assert_eq!(serving.hedge_delay(START, &service(), &route(), 1), None);
}

/// Guards against twice the load on a service whose targets are all slow. Load: 1,000 calls, all of them late.
#[test]
fn one_call_in_five_is_hedged_after_a_burst_of_two() {
    let mut limit = HedgeLimit::default();
    let mut hedges = 0;

    for call in 1..=1_000 {
        limit.record_call();
        if limit.allows_hedge() {
            limit.record_hedge();
            hedges += 1;
        }
        assert!(hedges <= 2 + call / 5, "{hedges} of {call}");
    }

    assert!(hedges >= 200, "{hedges}");
}

/// Guards against a burst of hedges after a long time in which no call was late.
#[test]
fn unused_hedges_do_not_accumulate() {
    let mut limit = HedgeLimit::default();
    for _ in 0..1_000 {
        limit.record_call();
    }

    let burst = (0..100)
        .take_while(|_| {
            let is_allowed = limit.allows_hedge();
            limit.record_hedge();
            is_allowed
        })
        .count();

    assert_eq!(burst, 2);
}

#[test]
fn a_hedge_goes_to_another_target() {
    let mut serving = instance(2);
    let first = send(&mut serving);

    let second = hedge(&mut serving, std::slice::from_ref(&first)).unwrap();

    assert_ne!(first, second);
}

#[test]
fn an_instance_at_its_limit_sends_no_hedge() {
    let mut serving = instance(3);
    let first = send(&mut serving);
    let tried = [first];
    for _ in 0..2 {
        hedge(&mut serving, &tried).unwrap();
    }

    assert_eq!(hedge(&mut serving, &tried), Err(HedgeDenial::AtLimit));
    for _ in 0..5 {
        serving.record_hedgeable_call(&service(), &route());
    }
    hedge(&mut serving, &tried).unwrap();
}

/// Guards against credit for hedges from calls that are never hedged.
#[test]
fn calls_that_may_run_at_most_once_allow_no_hedges() {
    let mut serving = instance(3);
    let first = send(&mut serving);
    let tried = [first];
    for _ in 0..2 {
        hedge(&mut serving, &tried).unwrap();
    }
    let at_most_once = Route {
        retry_policy: RetryPolicy::AtMostOnce,
        ..route()
    };

    for _ in 0..20 {
        serving.record_hedgeable_call(&service(), &at_most_once);
    }

    assert_eq!(hedge(&mut serving, &tried), Err(HedgeDenial::AtLimit));
}

/// Guards against second attempts that delay other calls. Load: more than seven tenths of the slots are in use.
#[test]
fn a_busy_service_gets_no_hedge() {
    let mut serving = instance(2);
    let calls: Vec<TargetId> = (0..9).map(|_| send(&mut serving)).collect();

    let tried = [calls[0].clone()];
    assert_eq!(hedge(&mut serving, &tried), Err(HedgeDenial::Busy));
    serving.record_call_ended(START, &calls[1], ANSWER_MS, false);
    hedge(&mut serving, &tried).unwrap();
}

/// Guards against retries beyond the fleet's budget.
#[test]
fn a_hedge_takes_a_retry_out_of_the_budget() {
    // Used to 0.6, it has one retry for an instance that is alone.
    let one_retry = FleetBudgetRule {
        ratio: 0.0,
        slack: 2.0,
        window_ms: 10_000,
    };
    let mut serving = instance_with(3, one_retry);
    let first = send(&mut serving);
    let tried = [first];

    hedge(&mut serving, &tried).unwrap();
    assert_eq!(
        hedge(&mut serving, &tried),
        Err(HedgeDenial::Refused(Refusal::BudgetUsed))
    );
}

/// Guards against a hedge that is spent on a target to which no connection can be opened.
#[test]
fn no_hedge_is_sent_without_another_reachable_target() {
    let mut alone = instance(1);
    let first = send(&mut alone);
    let mut pair = instance(2);
    let second = send(&mut pair);
    let other = if &*second == "p-0" { "p-1" } else { "p-0" };
    pair.record_unreachable(START, &other.into());

    assert_eq!(hedge(&mut alone, &[first]), Err(HedgeDenial::NoTarget));
    assert_eq!(hedge(&mut pair, &[second]), Err(HedgeDenial::NoTarget));
}

/// Guards against a poisonous request that gets twice as many targets.
#[test]
fn a_poisonous_call_gets_no_hedge() {
    let mut serving = instance(5);
    let first = send(&mut serving);
    for target in ["p-0", "p-1", "p-2"] {
        serving.record_crash(START, 7, &target.into());
    }

    let denied = hedge(&mut serving, &[first]);

    assert_eq!(denied, Err(HedgeDenial::Refused(Refusal::Poison)));
}

/// Loads of two targets that have answered in the usual time, in which the second is free of failures.
fn usual_loads() -> (CallLoads, [TargetEntry; 2]) {
    let mut loads = CallLoads::default();
    let targets = [entry("p-0"), entry("p-1")];
    for target in &targets {
        for _ in 0..20 {
            loads.record_sent(&target.id);
            loads.record_ended(START, &target.id, ANSWER_MS, false);
        }
    }
    (loads, targets)
}

/// Returns how many of 100 calls would go to the first target.
fn chosen(loads: &CallLoads, now: MonoMs, targets: &[TargetEntry]) -> usize {
    let mut rng = fastrand::Rng::with_seed(7);
    let first = &targets[0].id;
    (0..100)
        .filter(|_| {
            let chosen = loads.choose(now, targets.iter(), &[], &mut rng);
            chosen.is_some_and(|target| target.id == *first)
        })
        .count()
}

fn overtake(loads: &mut CallLoads, target: &TargetId, waited_ms: f64) {
    loads.record_sent(target);
    loads.record_overtaken(START, target, waited_ms, ANSWER_MS);
}

/// Guards against a target that never answers and keeps its share of the calls, since each of them is cancelled
/// before it fails.
#[test]
fn a_target_that_never_answers_is_avoided_though_its_calls_are_cancelled() {
    let (mut loads, targets) = usual_loads();

    for _ in 0..3 {
        overtake(&mut loads, &targets[0].id, 105.0);
    }
    // The other target has four times as many calls in flight as slots.
    for _ in 0..4 * SLOTS {
        loads.record_sent(&targets[1].id);
    }

    assert_eq!(chosen(&loads, START, &targets), 0);
    assert_eq!(loads.in_flight(&targets[0].id), 0);
}

/// Guards against avoiding a healthy target whose answers were a little slower than those of another: it gets as many
/// calls as if it had answered when they were cancelled.
#[test]
fn a_target_that_was_slower_by_a_little_does_not_count_as_failing() {
    let slower_ms = ANSWER_MS + 5.0;
    let (mut overtaken, targets) = usual_loads();
    let (mut answered, _) = usual_loads();

    for _ in 0..3 {
        overtake(&mut overtaken, &targets[0].id, slower_ms);
        answered.record_sent(&targets[0].id);
        answered.record_ended(START, &targets[0].id, slower_ms, false);
    }

    let share = chosen(&overtaken, START, &targets);
    assert!(share > 0);
    assert_eq!(share, chosen(&answered, START, &targets));
}

/// Guards against failures of a target that answers, from calls that were late by chance and cancelled.
#[test]
fn answers_between_cancelled_calls_show_that_the_target_works() {
    let (mut loads, targets) = usual_loads();

    for _ in 0..5 {
        for _ in 0..20 {
            loads.record_sent(&targets[0].id);
            loads.record_ended(START, &targets[0].id, ANSWER_MS, false);
        }
        overtake(&mut loads, &targets[0].id, 105.0);
    }
    // The other target has as many calls in flight as slots, so that it takes twice as long.
    for _ in 0..SLOTS {
        loads.record_sent(&targets[1].id);
    }

    assert!(chosen(&loads, START, &targets) > 90);
}
