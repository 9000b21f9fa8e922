//! Connections that go silent for good while new ones work.

use {
    super::{
        client::{
            Answer, LONG_DEADLINE_MS, answer_to, call, completion, read_answer, send,
            send_and_read, ticket,
        },
        process::Process,
        wait::until,
        world::{World, WorldOptions, engine, until_idle},
    },
    async_std::task,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    whinlatch_standins::{EngineOptions, ServiceOptions},
    whinlatch_wire::caller::{OutcomeKind, Reason},
};

/// Streams that are open when their connections go silent.
const STREAMS: usize = 3;
/// Tokens of each stream's answer.
const ANSWER_TOKENS: u32 = 200;
/// A deadline that is reached in the test, in ms.
const SHORT_DEADLINE_MS: u64 = 3_000;

/// Guards against answers that stop in the middle without an error: a device between a daemon and its
/// engines drops the open connections, while new ones work. The daemon must read the engine's report
/// over a new one and resume the answer, without a word repeated or lost.
#[test]
fn a_stream_over_a_silent_connection_is_resumed() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            engines: 2,
            engine: EngineOptions {
                decode_tokens_per_s: 50.0,
                answer_tokens: ANSWER_TOKENS,
                ..engine()
            },
            ..WorldOptions::default()
        })
        .await;
        let fleet = world.fleet(1).await;
        let open = Arc::new(AtomicUsize::new(0));
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| task::spawn(stream(fleet[0].callers, number, Arc::clone(&open))))
            .collect();
        until("the streams are open", async || {
            open.load(Ordering::SeqCst) == STREAMS
        })
        .await;

        for engine in &world.engines {
            engine.silence_open();
        }

        for (number, stream) in streams.into_iter().enumerate() {
            let answer = stream.await;
            assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
            assert_eq!(
                answer.text,
                answer_to(&prompt(number), u64::from(ANSWER_TOKENS))
            );
        }
    });
}

fn prompt(number: usize) -> String {
    format!("manifest {number}\nlist the boxes")
}

async fn stream(daemon: SocketAddr, number: usize, open: Arc<AtomicUsize>) -> Answer {
    let request = completion(daemon, &prompt(number), LONG_DEADLINE_MS);
    let head = send(daemon, request).await.unwrap();
    open.fetch_add(1, Ordering::SeqCst);
    read_answer(head).await.expect("a complete answer")
}

/// Guards against a second run of a call whose connection goes silent after the service ran it: the
/// caller must get `unknown` by its deadline.
#[test]
fn a_call_over_a_silent_connection_ends_by_its_deadline() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            services: 2,
            service: ServiceOptions {
                call_ms: SHORT_DEADLINE_MS / 10,
                ..ServiceOptions::default()
            },
            ..WorldOptions::default()
        })
        .await;
        let fleet = world.fleet(2).await;
        let (answer, ran) = silenced_call(&world, &fleet[0]).await;

        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        assert_eq!(answer.outcome.reason, Reason::DeadlineReached, "{answer:?}");
        until_idle(&fleet[0]).await;
        assert_eq!(world.runs_of(&ran), 1);
    });
}

/// Silences the connection of a call while it runs. On a machine so slow that the answer arrives
/// first, tries again with another call.
async fn silenced_call(world: &World, daemon: &Process) -> (Answer, String) {
    for number in 0.. {
        let body = format!("label {number}");
        let ticket = ticket(daemon.callers, &body).await;
        let request = call(daemon.callers, &body, Some(ticket), SHORT_DEADLINE_MS);
        let answer = task::spawn(send_and_read(daemon.callers, request));
        until("the call is at a service", async || {
            world.runs_of(&body) > 0
        })
        .await;
        for service in &world.services {
            service.silence_open();
        }
        let answer = answer.await.unwrap();
        if answer.kind() != OutcomeKind::Completed {
            return (answer, body);
        }
    }
    unreachable!("the range is unbounded")
}
