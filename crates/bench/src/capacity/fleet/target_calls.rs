//! Targets as they answer calls that aren't attempts.

use {
    super::published::{target_number, target_run},
    whinlatch_core::{TargetCall, TargetEvent},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, Revision, TargetName},
        target::{
            CacheEvents, EngineMode, EngineState, Holding, LoadReport, OrderVerdict, REPORT_PATH,
        },
    },
};

/// Head of a call as the HTTP library writes it, but for the path.
const REQUEST_HEAD: &str = "GET  HTTP/1.1\r\nhost: 10.2.0.1:8000\r\ncontent-length: 0\r\n\r\n";
/// Head of an answer as the HTTP library writes it.
const ANSWER_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\
    date: Wed, 02 Dec 2026 12:00:00 GMT\r\ncontent-type: application/json\r\n\r\n";
/// Prompt tokens that each open stream still holds.
const TOKENS_PER_STREAM: u64 = 2_000;

/// What a target answers, and what call and answer weigh.
#[derive(Debug)]
pub(super) struct TargetAnswer {
    pub(super) event: TargetEvent,
    pub(super) bytes_out: u64,
    pub(super) bytes_in: u64,
    /// The report as JSON, where the daemon has to decode one.
    pub(super) json: Option<Vec<u8>>,
}

/// Answers a call of a target that holds `streams` open streams; `None` for calls whose answer
/// tells nothing.
pub(super) fn answer(
    target: &TargetName,
    call: &TargetCall,
    streams: usize,
) -> Option<TargetAnswer> {
    let incarnation = target_run(target_number(target));
    match call {
        TargetCall::Report => {
            let report = report(incarnation, streams);
            let json = serde_json::to_vec(&report).expect("a report is plain data");
            Some(TargetAnswer {
                event: TargetEvent::Report(report),
                bytes_out: (REQUEST_HEAD.len() + REPORT_PATH.len()) as u64,
                bytes_in: (ANSWER_HEAD.len() + json.len()) as u64,
                json: Some(json),
            })
        }
        TargetCall::CacheEvents { .. } => {
            let events = CacheEvents {
                incarnation,
                events: Vec::new(),
            };
            Some(small(TargetEvent::Cache(events)))
        }
        TargetCall::State => Some(small(TargetEvent::State(state(target, incarnation)))),
        TargetCall::Order { .. } => Some(small(TargetEvent::Ordered(OrderVerdict::Holds))),
        TargetCall::Reserve { reserve, .. } => {
            Some(small(TargetEvent::Reserved(reserve.reservation)))
        }
        TargetCall::Release(_) | TargetCall::Cancel(_) => None,
    }
}

/// An answer of about a hundred bytes.
fn small(event: TargetEvent) -> TargetAnswer {
    const BODY_BYTES: usize = 100;
    TargetAnswer {
        event,
        bytes_out: (REQUEST_HEAD.len() + REPORT_PATH.len()) as u64,
        bytes_in: (ANSWER_HEAD.len() + BODY_BYTES) as u64,
        json: None,
    }
}

/// The report of the target with this number while it holds `streams` open streams.
pub fn report_of(number: usize, streams: usize) -> LoadReport {
    report(target_run(number), streams)
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
