use {
    crate::entry::{
        attempt::open_connection, entry_state::EntryState, inquiries::answer_inquiries,
    },
    futures::future::{join, join_all},
    std::sync::Arc,
    whinlatch_serving::targets::TargetEntry,
};

/// Time between two checks for targets to probe, in ms.
const CHECK_INTERVAL_MS: u64 = 50;

/// Opens connections to targets beside those of callers' requests, forever: to one of each service now and then while some
/// service is out of reach, and to those that may have died under a request.
pub async fn probe_targets(state: Arc<EntryState>) {
    loop {
        state.clock.sleep(CHECK_INTERVAL_MS).await;
        let targets = state.serving().targets_to_probe(state.now());
        let probes = join_all(targets.iter().map(|target| probe(&state, target)));
        join(probes, answer_inquiries(&state)).await;
    }
}

async fn probe(state: &EntryState, target: &TargetEntry) {
    if let Ok(connection) = open_connection(state, target).await {
        let now = state.now();
        state.pool.put(now, target.address, connection, None);
    }
}
