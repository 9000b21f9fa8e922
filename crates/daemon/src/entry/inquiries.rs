//! Finds out whether targets have died to which connections broke under requests.

use {
    super::{decision_line::Decision, entry_state::EntryState},
    futures::future::join_all,
    whinlatch_serving::{Inquiry, targets::TargetEntry},
};

/// Opens connections to targets that may have died, and to others beside them, and records what came of that.
pub async fn answer_inquiries(state: &EntryState) {
    let inquiries = state.serving().take_inquiries(state.now());
    join_all(inquiries.iter().map(|inquiry| ask(state, inquiry))).await;
    let (verdicts, blames) = {
        let mut serving = state.serving();
        (serving.take_break_verdicts(), serving.take_blames())
    };
    for verdict in verdicts {
        state.metrics.record_break(verdict);
    }
    for blame in blames {
        state.log(&Decision::Blamed {
            kind: blame.suspect.kind(),
            id: blame.suspect.id_text(),
            targets: blame.targets,
            refused: blame.is_refused,
        });
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
