use {
    super::{
        attempt::AttemptFault,
        engine_reports::REPORT_TIMEOUT_MS,
        entry_state::EntryState,
        own_call::{Need, OwnCall, own_call},
    },
    crate::clock::timeout,
    whinlatch_platform::REPORT_PATH,
    whinlatch_serving::targets::TargetEntry,
};

/// Time between two checks of what is known of the engine, in ms.
const CHECK_INTERVAL_MS: u64 = 250;
/// Time between two reports while the engine is suspect, in ms.
const SUSPECT_REPORT_INTERVAL_MS: u64 = 500;
/// Time between two reports while the prompt holds memory at other engines, in ms. That memory must be free within
/// four seconds of the engine's death, and an expiring reservation alone takes three.
const MEMORY_REPORT_INTERVAL_MS: u64 = 1_000;
/// Reports in a row without an answer after which the engine counts as lost. One may be lost with a packet.
const MAX_UNANSWERED_REPORTS: u32 = 2;

/// Completes once the engine that is to answer a prompt is lost: it has restarted, or doesn't answer for its
/// report, or this instance reaches no engine and a peer may. Reports are read only where the prompt holds memory
/// elsewhere, the engine's entry is gone, or a connection to it failed at some instance.
///
/// Guards against an engine that loses power while a prompt waits in its queue: no connection breaks, so the
/// caller would wait until its deadline, and the memory reserved at helpers would be renewed for nobody.
pub async fn until_engine_is_lost(state: &EntryState, engine: &TargetEntry, holds_memory: bool) {
    let mut reported_at = state.now();
    let mut unanswered = 0;
    loop {
        state.clock.sleep(CHECK_INTERVAL_MS).await;
        if state.serving().has_restarted(engine) {
            return;
        }
        let now = state.now();
        if state.serving().is_out_of_reach(&engine.service) {
            // Reports need a new connection, and would say nothing of the engine.
            if state.serving().should_leave_service(now, &engine.service) {
                return;
            }
            continue;
        }
        let since_report_ms = now.since(reported_at);
        let is_suspect = unanswered > 0 || state.serving().may_be_gone(now, &engine.id);
        let is_due = is_suspect && since_report_ms >= SUSPECT_REPORT_INTERVAL_MS
            || holds_memory && since_report_ms >= MEMORY_REPORT_INTERVAL_MS;
        if !is_due {
            continue;
        }
        reported_at = now;
        if is_answering(state, engine).await {
            unanswered = 0;
            continue;
        }
        unanswered += 1;
        if unanswered >= MAX_UNANSWERED_REPORTS {
            return;
        }
    }
}

/// Returns whether an engine answers a request for its report, with whatever status, or may not be asked now.
async fn is_answering(state: &EntryState, engine: &TargetEntry) -> bool {
    let call = own_call(state, engine, OwnCall::Query(REPORT_PATH), Need::Optional);
    match timeout(state.clock.as_ref(), REPORT_TIMEOUT_MS, call).await {
        Some(Ok(_) | Err(AttemptFault::NotPermitted)) => true,
        Some(Err(_)) | None => false,
    }
}
