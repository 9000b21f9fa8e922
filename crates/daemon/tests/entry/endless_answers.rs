//! Targets that send bytes without end: what an instance reads of them, and what its callers get.

use {
    super::fixture::{target, world},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, CallerRequest, Endless, Fixture, SAFE_PREFIX, STREAM_PREFIX,
        TargetStandin,
    },
};

/// Bytes that the buffers of both ends of a connection may hold beside what was read.
const BUFFERED_BYTES: usize = 40 * 1024 * 1024;
/// Bytes that may be read of a call's answer.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that may be read of any other part of an answer.
const PART_BYTES: usize = 1024 * 1024;
const PARTS: [Endless; 8] = [
    Endless::Head,
    Endless::InterimHeads,
    Endless::Body,
    Endless::FailureBody,
    Endless::ForeignBody,
    Endless::ForeignChunks,
    Endless::ChunkLine,
    Endless::Trailers,
];

fn max_sent_bytes(part: Endless) -> usize {
    let read = match part {
        Endless::Body => ANSWER_BYTES,
        _ => PART_BYTES,
    };
    read + BUFFERED_BYTES
}

fn prompt(tokens: u64) -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), tokens)
}

fn events(last: u64) -> String {
    let events: Vec<String> = (1..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    events.concat()
}

/// Starts two targets, of which the one that is asked first answers without end and the other one like `other`.
fn two_targets(part: Endless, other: &Behaviour) -> [TargetStandin; 2] {
    let requests = Arc::new(AtomicUsize::new(0));
    ["t-1", "t-2"].map(|id| {
        let (requests, other) = (Arc::clone(&requests), other.clone());
        TargetStandin::start_choosing(id, move |_request| {
            match requests.fetch_add(1, Ordering::SeqCst) {
                0 => Behaviour::Endless(part),
                _ => other.clone(),
            }
        })
    })
}

/// Guards against an instance that reads into its memory whatever a target in trouble sends, until its caller leaves.
#[async_std::test]
async fn a_call_whose_answer_has_no_end_fails_and_its_connection_is_closed() {
    for part in PARTS {
        let plain = target("p-1", Behaviour::Endless(part));
        let world = world(&[], &[&plain]).await;

        let answer = world.exchange(&CallerRequest::new("POST", format!("{CALL_PREFIX}print")));

        assert_eq!(answer.status, 502, "{part:?}");
        let sent = plain.wait_for_endless_answers(1);
        assert!(sent[0] <= max_sent_bytes(part), "{part:?}: {sent:?}");
    }
}

/// As above, where the call may be sent again: it isn't held until its deadline.
#[async_std::test]
async fn a_call_whose_answer_has_no_end_is_sent_again() {
    for part in PARTS {
        let targets = two_targets(part, &Behaviour::Serve("listing"));
        let world = world(&[], &targets.each_ref()).await;

        let answer = world.exchange(&CallerRequest::new("GET", format!("{SAFE_PREFIX}listing")));

        assert_eq!((answer.status, &*answer.body), (200, "listing"), "{part:?}");
    }
}

/// Guards against a stream that waits, and grows in memory, for the end of a head, a body or an event that never comes.
#[async_std::test]
async fn a_stream_without_end_goes_on_at_another_engine() {
    for part in PARTS.into_iter().chain([Endless::Event]) {
        let engines = two_targets(part, &Behaviour::Stream(5));
        let world = world(&engines.each_ref(), &[]).await;

        let answer = world.exchange(&prompt(5_000));

        let is_passed_on = part == Endless::FailureBody && answer.status == 502;
        let is_resumed = (answer.is_whole, &answer.body) == (true, &events(5));
        assert!(is_passed_on || is_resumed, "{part:?}: {answer:?}");
        let sent = engines.iter().flat_map(TargetStandin::endless_answers);
        let sent: Vec<usize> = sent.collect();
        let max_bytes = PART_BYTES + BUFFERED_BYTES;
        assert!(
            sent.iter().all(|bytes| *bytes <= max_bytes),
            "{part:?}: {sent:?}"
        );
    }
}

/// Guards against an event that grows without end, of which the caller gets a part or which looks complete.
#[async_std::test]
async fn a_stream_inside_an_event_without_end_is_cut_after_the_last_complete_one() {
    let engine = target("e-1", Behaviour::Endless(Endless::Event));
    let world = world(&[&engine], &[]).await;

    let answer = world.exchange(&prompt(5_000));

    assert_eq!((answer.is_whole, answer.body), (false, events(2)));
    let sent = engine.wait_for_endless_answers(1);
    assert!(sent[0] <= max_sent_bytes(Endless::Event), "{sent:?}");
}

/// Guards against answers to orders that fill the memory of the instance that gives them.
#[async_std::test]
async fn an_answer_to_an_order_without_end_is_read_up_to_a_bound() {
    for part in PARTS {
        let engines =
            ["e-1", "e-2", "e-3", "e-4", "e-5"].map(|id| target(id, Behaviour::Stream(2)));
        for engine in &engines {
            engine.answer_own_calls_without_end(part);
        }
        let world = world(&engines.each_ref(), &[]).await;
        let small = Fixture {
            version: 4,
            engine_tokens: 9_000,
            ..Fixture::default()
        };
        small.publish(&world.store);
        world.wait_for_version(4).await;

        let _answer = world.exchange(&prompt(10_000));

        let ordered = engines.iter().filter(|engine| !engine.orders().is_empty());
        let sent = ordered.flat_map(|engine| engine.wait_for_endless_answers(1));
        let sent: Vec<usize> = sent.collect();
        assert!(!sent.is_empty());
        let max_bytes = PART_BYTES + BUFFERED_BYTES;
        assert!(
            sent.iter().all(|bytes| *bytes <= max_bytes),
            "{part:?}: {sent:?}"
        );
    }
}

/// Guards against reports that fill the memory of the instance that reads those of all engines.
#[async_std::test]
async fn a_report_without_end_is_read_up_to_a_bound() {
    let engines = [Endless::Head, Endless::Body, Endless::Trailers].map(|part| {
        let engine = target("e-1", Behaviour::Stream(2));
        engine.answer_own_calls_without_end(part);
        engine
    });
    for engine in &engines {
        let _world = world(&[engine], &[]).await;

        let sent = engine.wait_for_endless_answers(1);

        assert!(sent[0] <= PART_BYTES + BUFFERED_BYTES, "{sent:?}");
    }
}
