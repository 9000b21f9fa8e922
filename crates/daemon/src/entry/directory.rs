//! Answers queries about this instance: readiness, the addresses that callers may use, and metrics.

use {
    super::{
        accept::accept_all,
        answers::CallerAnswer,
        entry_state::EntryState,
        http::{Framing, Input, RequestHead, ResponseHead, find_head_end},
    },
    crate::clock::timeout,
    async_std::net::{TcpListener, TcpStream},
    std::{net::IpAddr, sync::Arc},
    whinlatch_platform::{ENTRY_TTL_S, MAX_ADDRESSES, READY_PATH, RESOLVE_PATH, resolve_body},
};

/// Limit for the head of a query, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Timeout for a query to arrive, also for the next one on the same connection, in ms.
const QUERY_TIMEOUT_MS: u64 = 10_000;
/// Path at which Prometheus reads the metrics.
const METRICS_PATH: &str = "/metrics";

/// Accepts connections with queries forever.
pub async fn serve_queries(state: Arc<EntryState>, listener: TcpListener) {
    accept_all(state, listener, "directory", serve_connection).await;
}

async fn serve_connection(state: Arc<EntryState>, stream: TcpStream) {
    let mut input = Input::default();
    // A connection that is already closed has no peer address.
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    loop {
        let read = read_query(&stream, &mut input);
        let Some(Some(head)) = timeout(state.clock.as_ref(), QUERY_TIMEOUT_MS, read).await else {
            return;
        };
        let is_last = !head.keeps_alive;
        let answer = CallerAnswer::new(&stream, is_last);
        let answered = answer_query(&state, caller.ip(), &head, &answer).await;
        if answered.is_err() || is_last {
            return;
        }
    }
}

async fn read_query(stream: &TcpStream, input: &mut Input) -> Option<RequestHead> {
    loop {
        if let Some(end) = find_head_end(input.as_slice()).ok()? {
            let head = RequestHead::parse(&input.as_slice()[..end]).ok()?;
            input.consume(end);
            return (head.framing == Framing::Empty).then_some(head);
        }
        if input.as_slice().len() > MAX_HEAD_BYTES || input.fill(stream).await.ok()? == 0 {
            return None;
        }
    }
}

async fn answer_query(
    state: &EntryState,
    caller: IpAddr,
    head: &RequestHead,
    answer: &CallerAnswer<'_>,
) -> std::io::Result<()> {
    match head.target.split('?').next().unwrap_or_default() {
        READY_PATH if state.serving().is_ready() => {
            answer.write_full(&success("application/json"), b"{}").await
        }
        READY_PATH => {
            answer
                .write_error(503, "this instance isn't ready", None)
                .await
        }
        RESOLVE_PATH => resolve(state, caller, answer).await,
        METRICS_PATH => metrics(state, answer).await,
        _ => answer.write_error(404, "there is nothing here", None).await,
    }
}

async fn resolve(
    state: &EntryState,
    caller: IpAddr,
    answer: &CallerAnswer<'_>,
) -> std::io::Result<()> {
    let addresses = state
        .serving()
        .caller_addresses(state.now(), caller, MAX_ADDRESSES);
    if addresses.is_empty() {
        return answer.write_error(503, "no instance is ready", None).await;
    }
    let ttl_s = ENTRY_TTL_S.min(state.settings.max_entry_ttl_s.max(1));
    let body = resolve_body(&addresses, ttl_s)?;
    answer.write_full(&success("application/json"), &body).await
}

async fn metrics(state: &EntryState, answer: &CallerAnswer<'_>) -> std::io::Result<()> {
    state.update_target_metrics();
    match state.metrics.text() {
        Ok(text) => answer.write_full(&success("text/plain"), &text).await,
        Err(fault) => answer.write_error(500, &fault.to_string(), None).await,
    }
}

fn success(content_type: &str) -> ResponseHead {
    ResponseHead {
        status: 200,
        reason: "OK".to_owned(),
        headers: vec![("Content-Type".to_owned(), content_type.to_owned())],
        framing: Framing::Empty,
        keeps_alive: true,
        keep_alive_ms: None,
    }
}
