//! Reads how fast the engines are. One instance does it for all.

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
    whinlatch_platform::{REPORT_PATH, read_pace},
    whinlatch_serving::targets::TargetEntry,
};

/// Time between two reports of an engine, in ms. An engine that has turned slow is left alone
/// within it; each report is priced as a health check.
const REPORT_EVERY_MS: u64 = 2_000;
/// Time for a report, in ms.
const REPORT_MS: u64 = 300;

/// Reads the engines' reports while that is this instance's task, for ever.
///
/// The load that this answers: long prompts that several engines read wait for the slowest of them,
/// and one that writes no streams shows nobody that it is slow.
pub async fn read_reports(state: Arc<EntryState>) {
    loop {
        state.clock.sleep(REPORT_EVERY_MS).await;
        let engines = state.serving().reported_engines(state.now());
        join_all(engines.iter().map(|engine| read(&state, engine))).await;
    }
}

async fn read(state: &EntryState, engine: &TargetEntry) {
    // An engine that doesn't answer shows that to the prompts that are sent to it.
    let Some(body) = report(state, engine, Need::Wanted).await else {
        return;
    };
    match read_pace(&body) {
        Ok(pace) => {
            let now = state.now();
            state.serving().apply_reported_pace(now, engine, pace);
        }
        Err(fault) => state.log(&Decision::Unreadable {
            fault: format!("the report of {}: {fault}", engine.id),
        }),
    }
}

/// An engine's report; `None` if it gives none in time.
pub async fn report(state: &EntryState, engine: &TargetEntry, need: Need) -> Option<Vec<u8>> {
    let report = timeout(state.clock.as_ref(), REPORT_MS, ask(state, engine, need)).await;
    report?.ok()
}

async fn ask(
    state: &EntryState,
    engine: &TargetEntry,
    need: Need,
) -> Result<Vec<u8>, AttemptFault> {
    let (head, body) = own_call(state, engine, OwnCall::Ask(REPORT_PATH), need).await?;
    if head.is_success() {
        Ok(body)
    } else {
        Err(AttemptFault::Refused(head.status))
    }
}
