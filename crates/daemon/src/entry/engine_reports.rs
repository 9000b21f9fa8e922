//! Reads the engines' reports: their pace, which one instance does for the whole fleet, and their work, which an
//! instance does that has just started.

use {
    super::{
        attempt::AttemptFault,
        decision_line::Decision,
        entry_state::EntryState,
        own_call::{Need, OwnCall, own_call},
    },
    crate::clock::timeout,
    futures::future::join_all,
    std::sync::Arc,
    whinlatch_platform::{REPORT_PATH, read_occupancy, read_pace},
    whinlatch_serving::targets::TargetEntry,
};

/// Time between two reports of an engine, in ms. An engine that has become slow is avoided after this time at
/// the latest; each report is charged like a health check.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Timeout for a report, in ms.
pub const REPORT_TIMEOUT_MS: u64 = 300;

/// Reads the engines' reports forever, as long as this instance is the one that reads them.
///
/// Guards against slow engines that go unnoticed: a long prompt read by several engines waits for the
/// slowest of them, and an engine that writes no streams shows its pace nowhere else.
pub async fn read_reports(state: Arc<EntryState>) {
    loop {
        state.clock.sleep(REPORT_INTERVAL_MS).await;
        let engines = state.serving().reported_engines(state.now());
        join_all(engines.iter().map(|engine| read(&state, engine))).await;
    }
}

/// Reads the reports of engines before a choice, so that it takes account of work that this instance doesn't know.
pub async fn read_occupancies(state: &EntryState, engines: &[TargetEntry]) {
    join_all(engines.iter().map(|engine| read(state, engine))).await;
}

async fn read(state: &EntryState, engine: &TargetEntry) {
    // Not recorded here: prompts sent to an engine that doesn't answer detect that.
    let Some(body) = fetch_report(state, engine, Need::Optional).await else {
        return;
    };
    let read = read_pace(&body).and_then(|pace| Ok((pace, read_occupancy(&body)?)));
    match read {
        Ok((pace, occupancy)) => {
            let now = state.now();
            let mut serving = state.serving();
            serving.apply_reported_pace(now, engine, pace);
            serving.apply_occupancy(now, engine, occupancy);
        }
        Err(fault) => state.log(&Decision::Unreadable {
            fault: format!("the report of {}: {fault}", engine.id),
        }),
    }
}

/// Fetches an engine's report; `None` if it fails or times out.
pub async fn fetch_report(state: &EntryState, engine: &TargetEntry, need: Need) -> Option<Vec<u8>> {
    let report = timeout(
        state.clock.as_ref(),
        REPORT_TIMEOUT_MS,
        request_report(state, engine, need),
    )
    .await;
    report?.ok()
}

async fn request_report(
    state: &EntryState,
    engine: &TargetEntry,
    need: Need,
) -> Result<Vec<u8>, AttemptFault> {
    let (head, body) = own_call(state, engine, OwnCall::Query(REPORT_PATH), need).await?;
    if head.is_success() {
        Ok(body)
    } else {
        Err(AttemptFault::Refused(head.status))
    }
}
