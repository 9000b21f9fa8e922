use {
    super::Shared,
    crate::{client, signal::lock},
    async_std::{future::timeout, task},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    whinlatch_wire::{
        ids::AttemptId,
        target::{GenerateRequest, GroupMember},
    },
};

/// Path at which the engines of a group ask each other.
pub const RESERVATION_PATH: &str = "/peer/reservation";
/// Time between two looks whether the group is whole.
const LOOK: Duration = Duration::from_millis(50);
/// An engine of a group that says nothing for so long is taken for gone.
const SILENCE: Duration = Duration::from_secs(1);

/// A reservation that is held for a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReservation {
    /// Tokens held.
    pub tokens: u64,
}

/// Tokens that the other engines of the group hold; `None` if one doesn't.
pub async fn group_tokens(group: &[GroupMember]) -> Option<u64> {
    let mut total = 0;
    for member in group {
        let path = format!("{RESERVATION_PATH}?id={}", member.reservation);
        let held: HeldReservation = timeout(SILENCE, client::get(member.address, &path))
            .await
            .ok()??;
        total += held.tokens;
    }
    Some(total)
}

/// Ends the request when an engine of its group is gone or has given its memory to others: the
/// part of the prompt that it held is lost.
pub fn watch_group(engine: &Arc<Shared>, request: &GenerateRequest) {
    let engine = Arc::downgrade(engine);
    let (attempt, group) = (request.attempt, request.group.clone());
    task::spawn(async move {
        while is_at_work(&engine, attempt) {
            if group_tokens(&group).await.is_none() {
                if let Some(engine) = engine.upgrade() {
                    lock(&engine.state).drop_work(attempt);
                }
                return;
            }
            task::sleep(LOOK).await;
        }
    });
}

fn is_at_work(engine: &Weak<Shared>, attempt: AttemptId) -> bool {
    let Some(engine) = engine.upgrade() else {
        return false;
    };
    let state = lock(&engine.state);
    state
        .waiting
        .iter()
        .chain(&state.running)
        .any(|work| work.request.attempt == attempt)
}
