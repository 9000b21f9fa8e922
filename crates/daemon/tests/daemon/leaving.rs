//! A daemon that is told to stop.

use {
    super::{
        client::{completion, get, read_first_chunk, read_whole, send},
        fixture::{fast_engine, world},
    },
    serde_json::json,
    whinlatch_standins::EngineOptions,
    whinlatch_wire::caller::{Entries, OutcomeKind},
};

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
    let policy = json!({ "schema": 2, "kind": "policy", "spec": { "entries_ttl_ms": 100 } });
    world.publish("policy", &policy);
    let mut daemon = world.daemon(world.settings("one")).await;
    let mut response = send(&daemon, completion(&daemon, "long story")).await;
    read_first_chunk(&mut response).await;

    daemon.stop().await;
    let entries: Entries = get(&daemon, "/v1/entries").await;
    let (answer, ()) = futures::join!(read_whole(response), daemon.wait_until_stopped());

    assert_eq!(entries.entries, []);
    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}
