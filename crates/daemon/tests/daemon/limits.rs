//! Limits on slow and silent callers and on connections.

use {
    super::{
        client::{completion, get, read_answer, send_and_read},
        fixture::{fast_engine, until, world},
    },
    async_std::{
        io::{ReadExt, WriteExt},
        net::TcpStream,
    },
    whinlatch_daemon::app::Daemon,
    whinlatch_wire::{
        caller::{Entries, OutcomeKind, Reason},
        report::StatusReport,
    },
};

async fn connect(daemon: &Daemon) -> TcpStream {
    TcpStream::connect(daemon.caller_address()).await.unwrap()
}

// Guards against an idle daemon that accepts no callers: others have sent half a request and nothing
// more, and hold all connections because reads have no time limit.
#[async_std::test]
async fn a_slow_caller_times_out_and_others_are_served() {
    let world = world(1, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.read_timeout_ms = 200;
    let daemon = world.daemon(settings).await;
    let mut slow = connect(&daemon).await;
    slow.write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .unwrap();
    let mut silent = connect(&daemon).await;

    let served = send_and_read(&daemon, completion(&daemon, "prompt")).await;
    let answer = read_answer(async_h1::client::decode(slow).await.unwrap()).await;
    let mut nothing = Vec::new();
    let silent_end = silent.read_to_end(&mut nothing).await;

    assert_eq!(served.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(answer.status, 408);
    assert!(answer.outcome.message.contains("send it faster"));
    assert!(silent_end.is_ok(), "{silent_end:?}");
}

#[async_std::test]
async fn a_connection_over_the_limit_gets_a_retry_after() {
    let world = world(1, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.max_connections = 1;
    let daemon = super::fixture::start(settings).await;
    let mut holding = connect(&daemon).await;
    holding.write_all(b"GET").await.unwrap();

    let answer = read_answer(
        async_h1::client::decode(connect(&daemon).await)
            .await
            .unwrap(),
    )
    .await;

    assert_eq!(answer.status, 429);
    assert_eq!(answer.outcome.reason, Reason::FleetFull);
    assert_eq!(answer.retry_after.as_deref(), Some("1"));
    drop(holding);
    until(async || {
        let mut stream = connect(&daemon).await;
        let sent = stream
            .write_all(b"GET /v1/entries HTTP/1.1\r\nhost: x\r\n\r\n")
            .await;
        sent.is_ok()
            && async_h1::client::decode(stream)
                .await
                .is_ok_and(|response| response.status() == 200)
    })
    .await;
}

// Guards against memory that grows with each caller that doesn't read its answer, because writes have
// no time limit.
#[async_std::test]
async fn a_caller_that_reads_nothing_times_out() {
    let engine = whinlatch_standins::EngineOptions {
        decode_tokens_per_s: 1e6,
        answer_tokens: 4_000_000,
        memory_tokens: 10_000_000,
        ..fast_engine()
    };
    let world = world(1, engine).await;
    let mut settings = world.settings("one");
    settings.limits.write_timeout_ms = 200;
    let daemon = world.daemon(settings).await;
    let mut request = completion(&daemon, "prompt");
    let body = "{\"model\": \"assistant\", \"prompt\": \"p\", \"max_tokens\": 4000000}";
    request.set_body(body);
    let mut stream = connect(&daemon).await;
    let mut encoder = async_h1::client::Encoder::new(request);
    async_std::io::copy(&mut encoder, &mut stream)
        .await
        .unwrap();

    until(async || world.engines[0].stats().callers_gone + world.engines[0].stats().cancels > 0)
        .await;

    until(async || {
        let status: StatusReport = get(&daemon, "/v1/status").await;
        status.requests_in_flight == 0 && world.engines[0].stats().memory_used_tokens == 0
    })
    .await;
    drop(stream);
}

#[async_std::test]
async fn a_connection_serves_requests_in_sequence() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let stream = connect(&daemon).await;

    for _ in 0..3 {
        let request = super::client::request(&daemon, http_types::Method::Get, "/v1/entries");
        let mut response = async_h1::connect(stream.clone(), request).await.unwrap();
        let entries: Entries = response.body_json().await.unwrap();
        assert_eq!(entries.entries[0].address, daemon.caller_address());
    }
}
