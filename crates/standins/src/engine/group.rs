use {
    super::state::FakeEngine,
    crate::{http::get, standin::Server},
    async_std::{future::timeout, task},
    std::{sync::Weak, time::Duration},
    whinlatch_wire::{ids::AttemptId, target::GroupMember},
};

/// Path at which the engines of a group query the tokens of each other's reservations.
pub const RESERVATION_PATH: &str = "/peer/reservation";
/// Interval at which the reservations of a group are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an answer after which an engine of the group is considered gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the sum of the tokens reserved on the other engines of the group; `None` if one of the
/// reservations is missing.
pub async fn group_tokens(group: &[GroupMember]) -> Option<u64> {
    let mut total: u64 = 0;
    for member in group {
        let path = format!("{RESERVATION_PATH}?id={}", member.reservation);
        let reserved_tokens: u64 = timeout(PEER_TIMEOUT, get(member.address, &path))
            .await
            .ok()??;
        total += reserved_tokens;
    }
    Some(total)
}

/// Drops the request when an engine of its group is gone or has released the reservation, since the part of
/// the prompt that it stored is lost.
pub async fn watch_group(
    engine: Weak<Server<FakeEngine>>,
    attempt: AttemptId,
    group: Vec<GroupMember>,
) {
    while engine
        .upgrade()
        .is_some_and(|engine| is_active(&engine, attempt))
    {
        if group_tokens(&group).await.is_none()
            && let Some(engine) = engine.upgrade()
        {
            engine.state().drop_request(attempt);
        }
        task::sleep(CHECK_INTERVAL).await;
    }
}

fn is_active(engine: &Server<FakeEngine>, attempt: AttemptId) -> bool {
    let state = engine.state();
    state
        .requests()
        .any(|request| request.params.attempt == attempt)
}
