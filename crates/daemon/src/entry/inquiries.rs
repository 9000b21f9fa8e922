//! Finds out whether targets have died to which connections broke under requests.

use {
    super::entry_state::EntryState,
    futures::future::join_all,
    std::sync::Arc,
    whinlatch_serving::{Inquiry, targets::TargetEntry},
};

/// Time between two checks for targets to ask for, in ms.
const CHECK_INTERVAL_MS: u64 = 50;

/// Opens connections to targets that may have died, and to others beside them, forever.
pub async fn inquire(state: Arc<EntryState>) {
    loop {
        state.clock.sleep(CHECK_INTERVAL_MS).await;
        let inquiries = state.serving().take_inquiries(state.now());
        join_all(inquiries.iter().map(|inquiry| ask(&state, inquiry))).await;
        let verdicts = state.serving().take_break_verdicts();
        for verdict in verdicts {
            state.metrics.record_break(verdict);
        }
    }
}

async fn ask(state: &EntryState, inquiry: &Inquiry) {
    let lives = opens(state, &inquiry.target).await;
    let opened = if lives {
        0
    } else {
        count_open(state, &inquiry.witnesses).await
    };
    let now = state.now();
    let mut serving = state.serving();
    serving.record_inquiry(now, inquiry, lives, opened);
}

async fn count_open(state: &EntryState, targets: &[TargetEntry]) -> usize {
    let opened = join_all(targets.iter().map(|target| opens(state, target))).await;
    opened.into_iter().filter(|opened| *opened).count()
}

/// Returns whether a connection to a target opens, and keeps it for a request.
async fn opens(state: &EntryState, target: &TargetEntry) -> bool {
    let opened = state.pool.open(state.clock.as_ref(), target.address).await;
    let Ok(connection) = opened else {
        return false;
    };
    state
        .pool
        .put(state.now(), target.address, connection, None);
    true
}
