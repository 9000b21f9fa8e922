//! Calls of plain services.

use {
    super::fixture::{target, until, world},
    whinlatch_platform_standins::{
        ACCOUNT, Behaviour, CALL_PREFIX, CallerRequest, Fixture, SAFE_PREFIX,
        names::{ACCOUNT_HEADER, EXPECT_HEADER, REQUEST_ID_HEADER, SEAL_HEADER},
    },
};

fn unsafe_call() -> CallerRequest {
    CallerRequest {
        body: "label".to_owned(),
        ..CallerRequest::new("POST", format!("{CALL_PREFIX}print%2F1?copies=1"))
    }
}

fn safe_call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

#[async_std::test]
async fn a_call_reaches_its_target_unchanged_and_its_answer_the_caller() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let world = world(&[], &[&plain]).await;
    let request = CallerRequest {
        extra_headers: vec![
            (ACCOUNT_HEADER, "somebody else".to_owned()),
            ("X-Custom", "kept".to_owned()),
        ],
        ..unsafe_call()
    };

    let answer = world.exchange(&request);

    assert_eq!((answer.status, answer.body.as_str()), (200, "printed"));
    assert_eq!(answer.header(SEAL_HEADER), Some("seal"));
    let arrived = &plain.arrivals()[0];
    assert_eq!(arrived.method, "POST");
    assert_eq!(arrived.target, request.path);
    assert_eq!(arrived.body, b"label");
    assert_eq!(arrived.header(REQUEST_ID_HEADER), Some(request.id.as_str()));
    assert_eq!(arrived.header(ACCOUNT_HEADER), Some(ACCOUNT));
    assert_eq!(arrived.header(EXPECT_HEADER), Some("p-1"));
    assert_eq!(arrived.header("X-Custom"), Some("kept"));
    assert_eq!(arrived.header("Authorization"), None);
}

/// Guards against running a call twice: the connection breaks after the target has run the call but before
/// its answer, and the instance sends the call to the next target.
#[async_std::test]
async fn a_call_that_may_have_run_is_not_sent_again() {
    let plain = [
        target("p-1", Behaviour::DropResponse),
        target("p-2", Behaviour::DropResponse),
    ];
    let world = world(&[], &[&plain[0], &plain[1]]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!(answer.status, 502);
    let arrivals = plain[0].arrivals().len() + plain[1].arrivals().len();
    assert_eq!(arrivals, 1);
}

/// Guards against an answer that promises that a call hasn't run, after its target has worked on it until the
/// deadline.
#[async_std::test]
async fn a_call_that_times_out_at_its_target_is_not_answered_with_a_refusal() {
    let plain = target("p-1", Behaviour::Hang);
    let world = world(&[], &[&plain]).await;
    let short = Fixture {
        version: 4,
        timeout_ms: 300,
        ..Fixture::default()
    };
    short.publish(&world.store);
    world.wait_for_version(4).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!((answer.status, plain.arrivals().len()), (504, 1));
}

/// Guards against refusing a call after the first target confirmed that it is full, while another one is
/// free.
#[async_std::test]
async fn a_call_that_a_full_target_refused_goes_to_another() {
    let plain = [
        target("p-1", Behaviour::Serve("printed")),
        target("p-2", Behaviour::Serve("printed")),
    ];
    for target in &plain {
        target.script([Behaviour::Shed]);
    }
    let world = world(&[], &[&plain[0], &plain[1]]).await;
    plain[1].script([]);

    let first = world.exchange(&unsafe_call());
    let second = world.exchange(&unsafe_call());

    // Each target refuses one call: the first call is refused by both, or each call by one.
    let statuses = [first.status, second.status];
    assert!(
        statuses == [503, 200] || statuses == [200, 200],
        "{statuses:?}"
    );
}

/// Guards against an error that leaves open whether a call has run, though all targets confirm that it hasn't.
#[async_std::test]
async fn a_call_that_no_target_ran_is_refused_with_a_retry_after() {
    let plain = target("p-1", Behaviour::Shed);
    let world = world(&[], &[&plain]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("Retry-After").unwrap().parse().unwrap();
    assert!(retry_after > 0.0);
}

#[async_std::test]
async fn an_idempotent_call_whose_answer_is_lost_is_sent_again() {
    let plain = [
        target("p-1", Behaviour::Serve("listing")),
        target("p-2", Behaviour::Serve("listing")),
    ];
    for target in &plain {
        target.script([Behaviour::DropResponse]);
    }
    let world = world(&[], &[&plain[0], &plain[1]]).await;

    let first = world.exchange(&safe_call());
    let second = world.exchange(&safe_call());

    // Two answers are lost in all; a call is sent to two targets at most.
    let served = [&first, &second]
        .iter()
        .filter(|answer| answer.status == 200)
        .count();
    assert!(served >= 1);
    let arrivals = plain[0].arrivals().len() + plain[1].arrivals().len();
    assert!(arrivals <= 4);
}

/// Guards against a caller that gets the answer to another request: a target answers twice, and the second
/// answer is waiting on the kept connection when the next request is sent.
#[async_std::test]
async fn a_second_answer_is_discarded() {
    let plain = target("p-1", Behaviour::Serve("second"));
    plain.script([Behaviour::RespondTwice("first")]);
    let world = world(&[], &[&plain]).await;

    let first = world.exchange(&safe_call());
    let second = world.exchange(&safe_call());

    assert_eq!(first.body, "first");
    assert_eq!(second.body, "second");
}

/// As above, but the stale answer arrives after the next request has been sent.
#[async_std::test]
async fn an_answer_to_another_request_is_skipped() {
    let plain = target("p-1", Behaviour::ForeignResponseFirst("listing"));
    let world = world(&[], &[&plain]).await;

    let answer = world.exchange(&safe_call());

    assert_eq!((answer.status, answer.body.as_str()), (200, "listing"));
}

#[async_std::test]
async fn an_answer_without_a_length_is_passed_on_completely() {
    let plain = target("p-1", Behaviour::Unframed("until the end"));
    let world = world(&[], &[&plain]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, "until the end")
    );
}

/// Guards against passing on a truncated answer as a success, after the target's connection closed too
/// early.
#[async_std::test]
async fn a_truncated_answer_is_no_success() {
    let plain = target("p-1", Behaviour::Short("half"));
    let world = world(&[], &[&plain]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!(answer.status, 502);
}

#[async_std::test]
async fn a_success_without_a_seal_is_no_success() {
    let plain = target("p-1", Behaviour::Unsealed);
    let world = world(&[], &[&plain]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!(answer.status, 502);
    assert_eq!(answer.header(SEAL_HEADER), None);
}

/// Guards against passing on a status that promises that the call hasn't run, which the target doesn't confirm;
/// a caller would send the call again.
#[async_std::test]
async fn a_not_run_status_without_confirmation_becomes_a_502() {
    let plain = target("p-1", Behaviour::Fail(503));
    let world = world(&[], &[&plain]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!(answer.status, 502);
}

/// Guards against failed calls while an instance doesn't know yet that a target has taken over the address of one
/// that ended. The target refuses calls for the other one as misdirected.
#[async_std::test]
async fn a_target_whose_address_was_taken_over_is_skipped() {
    let plain = target("p-2", Behaviour::Serve("printed"));
    let stale = target("p-1", Behaviour::Misdirected);
    let world = world(&[], &[&stale, &plain]).await;

    for _ in 0..4 {
        let answer = world.exchange(&unsafe_call());
        assert_eq!((answer.status, answer.body.as_str()), (200, "printed"));
    }
}

/// Guards against a target that keeps working after the caller has closed its connection.
#[async_std::test]
async fn a_caller_that_disconnects_cancels_its_call() {
    let plain = target("p-1", Behaviour::Hang);
    let world = world(&[], &[&plain]).await;
    let mut caller = world.connect();
    caller.write(&safe_call().text());
    plain.wait_for_arrivals(1);

    caller.disconnect();

    plain.wait_for_close();
}

/// Guards against a request that crashes each target that runs it, and takes down all of them while its caller
/// retries. After three targets, it is refused.
#[async_std::test]
async fn a_call_that_crashes_its_targets_is_refused_after_three() {
    let plain = ["p-1", "p-2", "p-3", "p-4", "p-5"].map(|id| target(id, Behaviour::DropResponse));
    let world = world(&[], &plain.each_ref()).await;

    for _ in 0..30 {
        world.exchange(&unsafe_call());
    }

    let broken = plain.iter().filter(|plain| !plain.arrivals().is_empty());
    assert_eq!(broken.count(), 3);
}

/// Guards against refusing a popular call to all callers for a minute, after a single faulty target has failed
/// several identical requests.
#[async_std::test]
async fn a_popular_call_is_served_after_one_target_failed_it_repeatedly() {
    let bad = target("p-1", Behaviour::DropResponse);
    let world = world(&[], &[&bad]).await;
    for _ in 0..5 {
        world.exchange(&unsafe_call());
    }
    let good = target("p-2", Behaviour::Serve("label"));
    world.store.publish_plain(&good);
    world.store.remove_target(bad.id());
    until(|| world.entry.ready_targets() == ["p-2"]).await;

    let answer = world.exchange(&unsafe_call());

    assert_eq!((answer.status, answer.body.as_str()), (200, "label"));
}

#[async_std::test]
async fn requests_share_a_connection_one_after_the_other() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    let mut caller = world.connect();
    let (first, second) = (safe_call(), safe_call());

    caller.write(&format!("{}{}", first.text(), second.text()));
    let answers = [caller.read().unwrap(), caller.read().unwrap()];

    assert!(answers.iter().all(|answer| answer.body == "listing"));
    until(|| plain.arrivals().len() == 2).await;
    let ids: Vec<String> = plain
        .arrivals()
        .iter()
        .filter_map(|arrived| arrived.header(REQUEST_ID_HEADER).map(str::to_owned))
        .collect();
    assert_eq!(ids, [first.id, second.id]);
}
