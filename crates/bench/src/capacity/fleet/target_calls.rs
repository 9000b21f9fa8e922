//! Responses of simulated targets to control calls, which are all calls but attempts.

use {
    super::published::{target_incarnation, target_number},
    whinlatch_core::{TargetCall, TargetEvent},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, Revision, TargetName},
        target::{
            CacheEvents, EngineMode, EngineState, Holding, LoadReport, OrderVerdict, REPORT_PATH,
        },
    },
};

/// Request header as the HTTP library writes it, without the path.
const REQUEST_HEADER: &str = "GET  HTTP/1.1\r\nhost: 10.2.0.1:8000\r\ncontent-length: 0\r\n\r\n";
/// Response header as the HTTP library writes it.
const RESPONSE_HEADER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\
    date: Wed, 02 Dec 2026 12:00:00 GMT\r\ncontent-type: application/json\r\n\r\n";
/// Memory that each open stream takes, in tokens.
const TOKENS_PER_STREAM: u64 = 2_000;

/// A target's response with the sizes of request and response.
#[derive(Debug)]
pub(super) struct TargetAnswer {
    pub(super) event: TargetEvent,
    pub(super) bytes_out: u64,
    pub(super) bytes_in: u64,
    /// The load report as JSON, which the daemon decodes; absent for other responses.
    pub(super) json: Option<Vec<u8>>,
}

/// Returns the response of a target with `streams` open streams, or `None` for calls whose response
/// carries no information.
pub(super) fn answer_call(
    target: &TargetName,
    call: &TargetCall,
    streams: usize,
) -> Option<TargetAnswer> {
    let incarnation = target_incarnation(target_number(target));
    match call {
        TargetCall::Report => {
            let report = report(incarnation, streams);
            let json = serde_json::to_vec(&report).expect("a report is plain data");
            Some(TargetAnswer {
                event: TargetEvent::Report(report),
                bytes_out: (REQUEST_HEADER.len() + REPORT_PATH.len()) as u64,
                bytes_in: (RESPONSE_HEADER.len() + json.len()) as u64,
                json: Some(json),
            })
        }
        TargetCall::CacheEvents { .. } => {
            let events = CacheEvents {
                incarnation,
                events: Vec::new(),
            };
            Some(small_answer(TargetEvent::Cache(events)))
        }
        TargetCall::State => Some(small_answer(TargetEvent::State(state(target, incarnation)))),
        TargetCall::Order { .. } => Some(small_answer(TargetEvent::Ordered(OrderVerdict::Holds))),
        TargetCall::Reserve { reserve, .. } => {
            Some(small_answer(TargetEvent::Reserved(reserve.reservation)))
        }
        TargetCall::Release(_) | TargetCall::Cancel(_) => None,
    }
}

/// Returns a response with a body of about a hundred bytes.
fn small_answer(event: TargetEvent) -> TargetAnswer {
    const BODY_BYTES: usize = 100;
    TargetAnswer {
        event,
        bytes_out: (REQUEST_HEADER.len() + REPORT_PATH.len()) as u64,
        bytes_in: (RESPONSE_HEADER.len() + BODY_BYTES) as u64,
        json: None,
    }
}

/// Returns the load report of the target with this number while it has `streams` open streams.
pub fn report_of(number: usize, streams: usize) -> LoadReport {
    report(target_incarnation(number), streams)
}

fn report(incarnation: Incarnation, streams: usize) -> LoadReport {
    let holding = |stream: usize| Holding {
        attempt: AttemptId(incarnation.0 << 16 | stream as u128),
        owner: Incarnation(u128::MAX - stream as u128),
        tokens: TOKENS_PER_STREAM,
        overdue_ms: 0,
        reservation: false,
    };
    LoadReport {
        incarnation,
        leaving: false,
        running: streams as u32,
        waiting: 0,
        prefill_tokens_left: 0,
        memory_used_tokens: streams as u64 * TOKENS_PER_STREAM,
        memory_total_tokens: 400_000,
        holdings: (0..streams).map(holding).collect(),
    }
}

fn state(target: &TargetName, incarnation: Incarnation) -> EngineState {
    EngineState {
        incarnation,
        models: vec![super::published::served_model(target_number(target))],
        mode: EngineMode::Both,
        busy: false,
        fence: Revision::default(),
        orders_begun: 0,
    }
}
