//! Prompts of which one part crashes each engine that begins to answer them, by the ways in which their streams end.

use {
    super::fixture::{World, until, world},
    std::sync::atomic::{AtomicU64, Ordering},
    whinlatch_platform_standins::{
        Behaviour, CallerRequest, CallerResponse, STREAM_PREFIX, TargetStandin,
        names::{MODEL_HEADER, PREFIX_HEADER, SEAL_HEADER, TOKENS_HEADER},
    },
};

/// Engines of the service: more than may crash.
const ENGINES: [&str; 12] = [
    "e-01", "e-02", "e-03", "e-04", "e-05", "e-06", "e-07", "e-08", "e-09", "e-10", "e-11", "e-12",
];
/// Engines that may crash before the part is known.
const MAX_CRASHED: usize = 5;
/// Part with which all prompts begin.
const FIRST_PART: &str = "c0ffee";
/// Part that crashes engines.
const BAD_PART: &str = "bad0";
const GOOD_PART: &str = "900d";
/// Sound prompts after which a break that is still unjudged is taken to stay so.
const MAX_SOUND_PROMPTS: usize = 1_000;

/// Number of the next prompt, so that no two are alike.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// A prompt of three parts, of which the last one is its own.
fn prompt(middle: &str) -> CallerRequest {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    CallerRequest {
        extra_headers: vec![
            (MODEL_HEADER, "m".to_owned()),
            (TOKENS_HEADER, "1460,80".to_owned()),
            (
                PREFIX_HEADER,
                format!("{FIRST_PART}:800,{middle}:410,{number:x}00:250"),
            ),
        ],
        body: format!("prompt {number}"),
        ..CallerRequest::new("POST", format!("{STREAM_PREFIX}x"))
    }
}

/// Starts engines that serve each prompt without the bad part.
fn engines(bad: &Behaviour) -> [TargetStandin; 12] {
    ENGINES.map(|id| {
        let bad = bad.clone();
        TargetStandin::start_choosing(id, move |request| {
            let parts = request.header(PREFIX_HEADER).unwrap_or_default();
            if parts.contains(BAD_PART) {
                bad.clone()
            } else {
                Behaviour::Stream(20)
            }
        })
    })
}

fn count_crashed(engines: &[TargetStandin]) -> usize {
    engines.iter().filter(|engine| engine.has_crashed()).count()
}

fn is_served(answer: &CallerResponse) -> bool {
    answer.status == 200 && answer.is_whole
}

/// Sends sound prompts until it is known what became of the crashed engines.
fn wait_until_judged(world: &World, engines: &[TargetStandin]) {
    for _ in 0..MAX_SOUND_PROMPTS {
        let is_judged = world.entry.judged_breaks() >= count_crashed(engines) as u64;
        if is_judged && !world.entry.has_unexplained_breaks() {
            return;
        }
        world.exchange(&prompt(GOOD_PART));
    }
}

/// An answer's head and what follows it.
fn answer(framing: &str, body: &str) -> Behaviour {
    let head = format!("HTTP/1.1 200 OK\r\n{SEAL_HEADER}: seal\r\n{framing}\r\n");
    Behaviour::CrashInAnswer(head + body)
}

/// Sends prompts with the bad part, no two alike, and checks that few engines crash and sound prompts are served.
async fn check(bad: Behaviour) {
    let engines = engines(&bad);
    let world = world(&engines.each_ref(), &[]).await;

    for _ in ENGINES {
        world.exchange(&prompt(BAD_PART));
        wait_until_judged(&world, &engines);
    }

    let crashed = count_crashed(&engines);
    assert!(crashed <= MAX_CRASHED, "{crashed} crashed by {bad:?}");
    until(|| is_served(&world.exchange(&prompt(GOOD_PART)))).await;
}

/// Guards against a part of prompts that crashes one engine after the other, since no two prompts with it are alike.
#[async_std::test]
async fn a_part_that_crashes_engines_before_they_answer_is_refused() {
    check(Behaviour::Crash).await;
}

/// As above, with streams that break off where only their framing shows it.
#[async_std::test]
async fn a_part_that_crashes_engines_in_a_framed_stream_is_refused() {
    let chunked = "Transfer-Encoding: chunked\r\n";
    check(answer(chunked, "")).await;
    check(answer(chunked, "15\r\nid: 1\ndata: event 1\n\n\r\n")).await;
    check(answer(
        "Content-Length: 900\r\n",
        "id: 1\ndata: event 1\n\n",
    ))
    .await;
}

/// As above, with streams that break off inside an event.
#[async_std::test]
async fn a_part_that_crashes_engines_inside_an_event_is_refused() {
    check(answer(
        "Transfer-Encoding: chunked\r\n",
        "14\r\nid: 1\ndata: ev",
    ))
    .await;
    check(answer("", "id: 1\ndata: ev")).await;
}

/// As above, with streams that look whole, since only the end of their connection bounds them.
#[async_std::test]
async fn a_part_that_crashes_engines_in_a_stream_that_looks_whole_is_refused() {
    check(answer("", "id: 1\ndata: event 1\n\n")).await;
}
