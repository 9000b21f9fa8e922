//! A daemon that is told to stop.

use {
    super::{
        client::{ask, completion, get, label_call, read_first_chunk, read_whole, send},
        fixture::{World, fast_engine, world},
    },
    futures::{pin_mut, poll},
    serde_json::json,
    whinlatch_standins::EngineOptions,
    whinlatch_wire::caller::{Entries, OutcomeKind},
};

fn publish_short_ttl(world: &World) {
    let policy = json!({ "schema": 2, "kind": "policy", "spec": { "entries_ttl_ms": 100 } });
    world.publish("policy", &policy);
}

// A member's reply stops in the middle of a sentence whenever a daemon is replaced.
// The daemon is told to stop while it passes an answer on.
// Cause: the process ends with connections open.
#[async_std::test]
async fn a_daemon_that_is_told_to_stop_finishes_what_is_in_flight() {
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
    let (answer, ()) = futures::join!(read_whole(response), daemon.wait_until_stopped());

    assert_eq!(entries.entries, []);
    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}

// A caller on a slow line gets half a label whenever a daemon is replaced.
// The service has answered, the core knows the outcome, and the answer is on its way.
// Cause: the daemon ends when nothing is in flight at targets.
#[async_std::test]
async fn a_daemon_that_leaves_waits_for_answers_that_are_being_written() {
    let world = world(1, fast_engine()).await;
    publish_short_ttl(&world);
    let mut daemon = world.daemon(world.settings("one")).await;
    // More than the buffers between the two ends hold.
    let body = "x".repeat(15_000_000);
    let refused = ask(&daemon, label_call(&daemon, &body, None)).await;
    let call = label_call(&daemon, &body, refused.outcome.ticket);
    let response = send(&daemon, call).await;

    daemon.stop().await;
    daemon.stopped().await;
    let end = daemon.wait_until_stopped();
    pin_mut!(end);
    assert!(poll!(&mut end).is_pending());
    let (answer, ()) = futures::join!(read_whole(response), end);

    assert_eq!(answer.text.len(), "ran ".len() + body.len());
}
