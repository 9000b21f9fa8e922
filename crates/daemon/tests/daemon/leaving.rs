//! Graceful shutdown of a daemon.

use {
    super::{
        client::{
            completion, get, label_call, read_answer, read_first_chunk, request, send,
            send_and_read,
        },
        fixture::{World, fast_engine, world},
    },
    async_std::{io::ReadExt, net::TcpStream},
    futures::{FutureExt, pin_mut, poll},
    http_types::{Method, headers::CONNECTION},
    serde_json::json,
    whinlatch_standins::EngineOptions,
    whinlatch_wire::caller::{Entries, OutcomeKind},
};

fn publish_short_ttl(world: &World) {
    let policy = json!({ "schema": 2, "kind": "policy", "spec": { "entries_ttl_ms": 100 } });
    world.publish("policy", &policy);
}

// Guards against answers that are truncated when a daemon is replaced: it is stopped while it passes
// an answer to a caller, and exits with the connection open.
#[async_std::test]
async fn a_stopped_daemon_finishes_requests_in_flight() {
    let engine = EngineOptions {
        decode_tokens_per_s: 60.0,
        ..fast_engine()
    };
    let world = world(1, engine).await;
    publish_short_ttl(&world);
    let mut daemon = world.daemon(world.settings("one")).await;
    let mut response = send(&daemon, completion(&daemon, "long story")).await;
    read_first_chunk(&mut response).await;

    daemon.stop().await;
    let entries: Entries = get(&daemon, "/v1/entries").await;
    let (answer, ()) = futures::join!(read_answer(response), daemon.wait_until_stopped());

    assert_eq!(entries.entries, []);
    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}

// Guards against answers to slow callers that are truncated when a daemon is replaced: the outcome is
// decided, and the daemon exits because no request is in flight at a target.
#[async_std::test]
async fn a_leaving_daemon_waits_for_answers_that_are_being_written() {
    let world = world(1, fast_engine()).await;
    publish_short_ttl(&world);
    let mut daemon = world.daemon(world.settings("one")).await;
    // Larger than the socket buffers of both ends.
    let body = "x".repeat(15_000_000);
    let refused = send_and_read(&daemon, label_call(&daemon, &body, None)).await;
    let call = label_call(&daemon, &body, refused.outcome.ticket);
    let response = send(&daemon, call).await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.len(), Some("ran ".len() + body.len()));

    daemon.stop().await;
    daemon.stopped().await;
    let end = daemon.wait_until_stopped();
    pin_mut!(end);
    assert!(poll!(&mut end).is_pending());
    let (answer, ()) = futures::join!(read_answer(response), end);

    assert_eq!(answer.text.len(), "ran ".len() + body.len());
}

// Guards against requests that are lost at the exit of a process: its callers keep their connections open
// between requests, and learn of the exit when one breaks under the next request.
#[async_std::test]
async fn a_stopped_daemon_has_closed_the_idle_connections_of_callers() {
    let world = world(1, fast_engine()).await;
    publish_short_ttl(&world);
    let mut daemon = world.daemon(world.settings("one")).await;
    let mut idle = TcpStream::connect(daemon.caller_address()).await.unwrap();
    let entries = request(&daemon, Method::Get, "/v1/entries");
    let mut response = async_h1::connect(idle.clone(), entries).await.unwrap();
    response.body_bytes().await.unwrap();

    daemon.stop().await;
    daemon.wait_until_stopped().await;

    let end = idle.read(&mut [0]).now_or_never();
    assert!(matches!(end, Some(Ok(0))), "{end:?}");
}

// Guards against callers that send their next request to a leaving daemon because their connection is open:
// it may exit before it has read the request.
#[async_std::test]
async fn each_answer_of_a_leaving_daemon_is_the_last_on_its_connection() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;

    daemon.stop().await;
    let mut connection = TcpStream::connect(daemon.caller_address()).await.unwrap();
    let completion = completion(&daemon, "prompt");
    let response = async_h1::connect(connection.clone(), completion).await;

    let response = response.unwrap();
    assert_eq!(response.header(CONNECTION).unwrap().as_str(), "close");
    let answer = read_answer(response).await;
    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(connection.read(&mut [0]).await.unwrap(), 0);
}
