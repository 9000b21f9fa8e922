//! Streams that their callers resume, on all kinds of routes that stream.

use {
    super::fixture::{target, targets_in_turn, world},
    whinlatch_platform_standins::{
        AnswerEnd, AnswerFraming, Behaviour, CALL_PREFIX, CallerRequest, CallerResponse,
        ConnectionEnd, FEED_PREFIX, Fixture, SAFE_PREFIX, STREAM_PREFIX, TargetStandin,
        names::{LAST_EVENT_HEADER, TOKENS_HEADER},
    },
};

/// Last event that the callers have.
const LAST_EVENT: u64 = 2;

fn feed(prefix: &str) -> CallerRequest {
    CallerRequest {
        body: "feed".to_owned(),
        ..CallerRequest::new("POST", format!("{prefix}x"))
    }
}

fn prompt(prefix: &str) -> CallerRequest {
    CallerRequest::prompt(format!("{prefix}x"), 5_000)
}

/// Returns the request with which a caller that has events up to [`LAST_EVENT`] resumes its stream.
fn resumed(request: CallerRequest) -> CallerRequest {
    resumed_after(request, &LAST_EVENT.to_string())
}

/// Returns a request that names `last` as the last event that its caller has.
fn resumed_after(mut request: CallerRequest, last: &str) -> CallerRequest {
    let last = (LAST_EVENT_HEADER, last.to_owned());
    request.extra_headers.push(last);
    request
}

/// Returns the behaviour of a target that sends this body to each request, whatever the last event of its caller is.
fn always(body: &str, is_framed_complete: bool) -> Behaviour {
    Behaviour::End(AnswerEnd {
        body: body.to_owned(),
        media_type: Some("text/event-stream"),
        framing: AnswerFraming::Chunked,
        is_framed_complete,
        connection: ConnectionEnd::Close,
    })
}

fn outcome(answer: &CallerResponse) -> (u16, bool, &str) {
    (answer.status, answer.is_whole, &answer.body)
}

fn events(first: u64, last: u64) -> String {
    let events: Vec<String> = (first..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    events.concat()
}

/// Returns the last events that the requests at a target name.
fn last_events(target: &TargetStandin) -> Vec<Option<String>> {
    let arrivals = target.arrivals();
    let names = arrivals.iter().map(|request| {
        let id = request.header(LAST_EVENT_HEADER);
        id.map(str::to_owned)
    });
    names.collect()
}

/// Starts two targets, of which the one that is asked first drops its response and the other one streams.
fn two_targets() -> [TargetStandin; 2] {
    targets_in_turn(&Behaviour::DropResponse, &Behaviour::Stream(5))
}

/// Guards against events that a caller gets twice, after it resumed a stream whose route or request isn't that of a
/// prompt at an engine.
#[async_std::test]
async fn a_resumed_stream_goes_on_after_the_last_event_of_its_caller() {
    let engine = target("e-1", Behaviour::Stream(5));
    let plain = target("p-1", Behaviour::Stream(5));
    let world = world(&[&engine], &[&plain]).await;
    let requests = [
        prompt(STREAM_PREFIX),
        feed(STREAM_PREFIX),
        feed(FEED_PREFIX),
    ];

    let answers = requests.map(|request| world.exchange(&resumed(request)));

    for answer in answers {
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.body, events(LAST_EVENT + 1, 5));
    }
    let last = Some(LAST_EVENT.to_string());
    assert_eq!(last_events(&engine), [last.clone(), last.clone()]);
    assert_eq!(last_events(&plain), [last]);
}

/// As above, where the first target breaks off before it has answered.
#[async_std::test]
async fn a_resumed_stream_that_is_sent_again_goes_on_after_the_last_event() {
    let targets = two_targets();
    let world = world(&[], &targets.each_ref()).await;

    let answer = world.exchange(&resumed(feed(FEED_PREFIX)));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(LAST_EVENT + 1, 5));
    let last = Some(LAST_EVENT.to_string());
    assert!(
        targets
            .iter()
            .all(|target| last_events(target) == [last.clone()])
    );
}

/// Guards against refusals of all prompts on a route that streams from targets which aren't engines.
#[async_std::test]
async fn a_prompt_at_a_service_without_engines_is_served() {
    let plain = target("p-1", Behaviour::Stream(5));
    let world = world(&[], &[&plain]).await;

    let first = world.exchange(&prompt(FEED_PREFIX));
    let second = world.exchange(&resumed(prompt(FEED_PREFIX)));

    assert_eq!((first.status, first.body), (200, events(1, 5)));
    assert_eq!(
        (second.status, second.body),
        (200, events(LAST_EVENT + 1, 5))
    );
    assert_eq!(last_events(&plain), [None, Some(LAST_EVENT.to_string())]);
    let arrivals = plain.arrivals();
    let tokens = arrivals.iter().map(|request| request.header(TOKENS_HEADER));
    assert!(tokens.eq([Some("5000,80"); 2]));
}

/// Guards against a second run of a stream that may not be resumed, at a service without engines.
#[async_std::test]
async fn a_stream_that_may_not_be_resumed_runs_once_at_most_without_engines() {
    for request in [feed(FEED_PREFIX), prompt(FEED_PREFIX)] {
        let targets = two_targets();
        let world = world(&[], &targets.each_ref()).await;
        let once = Fixture {
            version: 4,
            is_resumable: false,
            ..Fixture::default()
        };
        once.publish(&world.store);
        world.wait_for_version(4).await;

        let answer = world.exchange(&request);

        let runs: usize = targets.iter().map(|target| target.arrivals().len()).sum();
        assert_eq!((answer.status, runs), (502, 1));
    }
}

/// Guards against events that a caller gets twice, after a target whose events can't be told apart has broken off.
#[async_std::test]
async fn a_stream_is_not_resumed_after_an_event_without_a_number() {
    for body in [
        "data: one\n\ndata: two\n\n",
        "id: a\ndata: one\n\n",
        "id: 1\ndata: one\n\ndata: two\n\n",
    ] {
        let engines = targets_in_turn(&always(body, false), &always(body, true));
        let world = world(&engines.each_ref(), &[]).await;

        let answer = world.exchange(&prompt(STREAM_PREFIX));

        assert_eq!(outcome(&answer), (200, false, body));
    }
}

/// Guards against events that a caller gets twice, from a target that begins anew whatever event the request names.
#[async_std::test]
async fn an_answer_that_begins_anew_does_not_reach_a_caller_that_resumes() {
    for anew in [
        events(1, 5),
        events(LAST_EVENT, 5),
        "data: x\n\n".to_owned(),
    ] {
        let targets = ["t-1", "t-2"].map(|id| target(id, always(&anew, true)));
        let [engine, plain] = &targets;
        let world = world(&[engine], &[plain]).await;

        for request in [
            prompt(STREAM_PREFIX),
            feed(STREAM_PREFIX),
            feed(FEED_PREFIX),
        ] {
            let answer = world.exchange(&resumed(request));

            assert_eq!((answer.status, answer.is_whole), (502, true));
        }
    }
}

/// As above, where another target goes on after the event.
#[async_std::test]
async fn a_resumed_stream_is_served_by_a_target_that_goes_on() {
    let anew = always(&events(1, 5), true);
    for request in [prompt(STREAM_PREFIX), feed(FEED_PREFIX)] {
        let targets = targets_in_turn(&anew, &Behaviour::Stream(5));
        let targets = targets.each_ref();
        let world = if request.path.starts_with(STREAM_PREFIX) {
            world(&targets, &[]).await
        } else {
            world(&[], &targets).await
        };

        let answer = world.exchange(&resumed(request));

        let rest = events(LAST_EVENT + 1, 5);
        assert_eq!(outcome(&answer), (200, true, &*rest));
    }
}

/// As above, where the system itself resumes the stream within one answer.
#[async_std::test]
async fn a_stream_is_cut_if_its_second_target_begins_anew() {
    let engines = targets_in_turn(&Behaviour::StreamBroken(2), &always(&events(1, 5), true));
    let world = world(&engines.each_ref(), &[]).await;

    let answer = world.exchange(&prompt(STREAM_PREFIX));

    assert_eq!(outcome(&answer), (200, false, &*events(1, 2)));
    assert_eq!(
        last_events(&engines[0]).len() + last_events(&engines[1]).len(),
        2
    );
}

/// Guards against a failure of a caller that resumes a stream of which it has all events, or names one that doesn't exist.
#[async_std::test]
async fn a_stream_that_is_resumed_at_or_beyond_its_end_is_complete_and_empty() {
    let engine = target("e-1", Behaviour::Stream(5));
    let plain = target("p-1", Behaviour::Stream(5));
    let world = world(&[&engine], &[&plain]).await;

    for last in ["5", "99"] {
        for request in [
            prompt(STREAM_PREFIX),
            feed(STREAM_PREFIX),
            feed(FEED_PREFIX),
        ] {
            let answer = world.exchange(&resumed_after(request, last));

            assert_eq!(outcome(&answer), (200, true, ""));
        }
    }
}

/// Guards against a stream that begins at another event than its caller means.
#[async_std::test]
async fn a_last_event_that_is_no_number_is_refused_where_streams_may_be_resumed() {
    let engine = target("e-1", Behaviour::Stream(5));
    let plain = target("p-1", Behaviour::Stream(5));
    let world = world(&[&engine], &[&plain]).await;

    for last in ["", "+2", "-2", "a-2", "2;3", "99999999999999999999"] {
        for request in [
            prompt(STREAM_PREFIX),
            feed(STREAM_PREFIX),
            feed(FEED_PREFIX),
        ] {
            let answer = world.exchange(&resumed_after(request, last));

            assert_eq!(answer.status, 400, "{last:?}");
            assert!(answer.body.contains(LAST_EVENT_HEADER), "{}", answer.body);
        }
    }
    assert!(engine.arrivals().is_empty() && plain.arrivals().is_empty());
}

/// Guards against a request that is refused, or changed on its way, for an id that its service understands.
#[async_std::test]
async fn a_last_event_reaches_the_target_unchanged_where_the_system_resumes_nothing() {
    let engine = target("e-1", Behaviour::Stream(5));
    let plain = target("p-1", Behaviour::Stream(5));
    let world = world(&[&engine], &[&plain]).await;
    let once = Fixture {
        version: 4,
        is_resumable: false,
        ..Fixture::default()
    };
    once.publish(&world.store);
    world.wait_for_version(4).await;

    for last in ["a-2", "+12", "007", "2024-06-01T00:00:00Z"] {
        let requests = [
            feed(SAFE_PREFIX),
            feed(CALL_PREFIX),
            feed(FEED_PREFIX),
            feed(STREAM_PREFIX),
            prompt(STREAM_PREFIX),
        ];
        let answers = requests.map(|request| world.exchange(&resumed_after(request, last)));

        assert!(answers.iter().all(|answer| answer.status == 200), "{last}");
        let arrived = [last_events(&plain), last_events(&engine)].concat();
        let named = arrived.iter().filter(|id| id.as_deref() == Some(last));
        assert_eq!(named.count(), 5, "{last}");
    }
}
