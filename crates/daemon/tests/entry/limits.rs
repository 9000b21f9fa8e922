//! Targets that announce a limit of requests per second from all instances together.

use {
    super::{
        fixture::{target, until},
        paused_fleet::{ENGINES, Fleet, INSTANCES, LARGE_TOKENS, Published, STEP_MS},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, Request, SAFE_PREFIX, STREAM_PREFIX,
        TargetStandin, names::TOKENS_HEADER,
    },
};

/// Requests that callers send to each instance while the clock is paused.
const REQUESTS: usize = 20;
/// Limit that an overloaded target announces, in requests per second.
const LIMIT_PER_S: f64 = 1.0;
/// Time by which all instances know a limit, in ms: engines announce it in the answer to the next renewal.
const PROPAGATION_MS: u64 = 1_500;
/// Window in which the operators count the requests to such a target, in ms.
const WINDOW_MS: u64 = 4_000;
/// Requests that the operators allow in that window from instances that know the limit.
const MAX_ARRIVALS: usize = 11;

/// Has the only target announce its limit to each instance.
fn announce_limit(fleet: &Fleet, target: &TargetStandin, request: impl Fn() -> CallerRequest) {
    target.set_limit(Some(LIMIT_PER_S));
    for instance in 0..INSTANCES {
        fleet.status_of(instance, &request());
    }
}

fn safe_call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

/// Guards against an overloaded target that gets its full limit, or more, from each instance.
#[async_std::test]
async fn a_target_with_a_limit_gets_no_more_than_that_from_all_instances_together() {
    let plain = ["p-1", "p-2"].map(|id| target(id, Behaviour::Serve("listing")));
    let fleet = Fleet::start(Published::Plain(&plain[0])).await;
    announce_limit(&fleet, &plain[0], safe_call);
    fleet.add(Published::Plain(&plain[1])).await;
    let before = plain[0].arrival_count();

    for request in 0..INSTANCES * REQUESTS {
        assert_eq!(fleet.status_of(request % INSTANCES, &safe_call()), 200);
    }

    let arrived = plain[0].arrival_count() - before;
    assert!(arrived <= MAX_ARRIVALS, "{arrived}");
}

/// Guards against an overloaded engine that gets reports and orders on top of its limit of prompts.
#[async_std::test]
async fn reports_and_orders_count_towards_the_limit_of_an_engine() {
    let engines = ["e-1", "e-2", "e-3"].map(|id| target(id, Behaviour::Stream(2)));
    let fleet = Fleet::start(Published::Engine(&engines[0])).await;
    let short = || CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000);
    let long = || CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 60_000);
    announce_limit(&fleet, &engines[0], short);
    fleet.add(Published::Engine(&engines[1])).await;
    fleet.add(Published::Engine(&engines[2])).await;
    let before = engines[0].arrival_count();

    for request in 0..(WINDOW_MS / STEP_MS) as usize {
        let prompt = if request % 2 == 0 { short() } else { long() };
        fleet.status_of(request % INSTANCES, &prompt);
        fleet.advance(STEP_MS).await;
    }

    let arrived = engines[0].arrival_count() - before;
    assert!(arrived <= MAX_ARRIVALS, "{arrived}");
}

/// Guards against prompts sent to an overloaded engine whose limit is used up by renewals of reservations.
#[async_std::test]
async fn renewals_count_towards_the_limit_of_an_engine() {
    let hangs_on_large_prompts = |request: &Request| match request.header(TOKENS_HEADER) {
        Some(tokens) if tokens.starts_with(&LARGE_TOKENS.to_string()) => {
            Behaviour::StreamThenHang(1)
        }
        _ => Behaviour::Stream(2),
    };
    let engines = ENGINES.map(|id| TargetStandin::start_choosing(id, hangs_on_large_prompts));
    let fleet = Fleet::of_small_engines(&engines).await;
    let address = fleet.entries[0].settings().caller_address;
    let mut waiting = [address; 2].map(Caller::connect);
    for caller in &mut waiting {
        caller.write(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), LARGE_TOKENS).text());
    }
    let begun = |engines: &[TargetStandin]| -> usize {
        engines.iter().map(|engine| engine.arrivals().len()).sum()
    };
    until(|| begun(&engines) == 2).await;
    for engine in &engines {
        engine.set_limit(Some(LIMIT_PER_S));
    }
    fleet.advance(PROPAGATION_MS).await;
    let before = engines.each_ref().map(TargetStandin::arrival_count);

    for request in 0..(WINDOW_MS / STEP_MS) as usize {
        let short = CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000);
        fleet.status_of(request % INSTANCES, &short);
        fleet.advance(STEP_MS).await;
    }

    for (engine, before) in engines.iter().zip(before) {
        let arrived = engine.arrival_count() - before;
        assert!(arrived <= MAX_ARRIVALS, "{} {arrived}", engine.id());
    }
}

/// Guards against callers that wait for a target at its limit instead of a refusal with a time to retry.
#[async_std::test]
async fn a_call_is_refused_immediately_when_all_targets_are_at_their_limits() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    announce_limit(&fleet, &plain, safe_call);
    let call = || CallerRequest::new("POST", format!("{CALL_PREFIX}print"));

    let answers: Vec<u16> = (0..MAX_ARRIVALS)
        .map(|request| fleet.status_of(request % INSTANCES, &call()))
        .collect();

    assert_eq!(answers.last(), Some(&503));
    let served = answers.iter().filter(|status| **status == 200).count();
    assert!(served < MAX_ARRIVALS);
}

/// Guards against a target that still gets no requests after it has lifted its limit.
#[async_std::test]
async fn a_limit_ends_with_the_first_answer_without_it() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    announce_limit(&fleet, &plain, safe_call);
    plain.set_limit(None);

    fleet
        .advance_until(|fleet| {
            (0..INSTANCES).all(|instance| fleet.status_of(instance, &safe_call()) == 200)
        })
        .await;

    for request in 0..INSTANCES * REQUESTS {
        assert_eq!(fleet.status_of(request % INSTANCES, &safe_call()), 200);
    }
}
