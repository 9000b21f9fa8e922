use {
    super::state::FakeEngine,
    crate::{http::get, standin::Server},
    async_std::{future::timeout, task},
    std::{sync::Weak, time::Duration},
    whinlatch_wire::{ids::AttemptId, target::GroupMember},
};

/// Path at which the engines of a group ask each other for the tokens of a reservation.
pub const RESERVATION_PATH: &str = "/peer/reservation";
/// Time between two looks whether the group is whole.
const LOOK: Duration = Duration::from_millis(50);
/// An engine of a group that says nothing for so long is taken for gone.
const SILENCE: Duration = Duration::from_secs(1);

/// Tokens that the other engines of the group hold; `None` if one doesn't.
pub async fn group_tokens(group: &[GroupMember]) -> Option<u64> {
    let mut total: u64 = 0;
    for member in group {
        let path = format!("{RESERVATION_PATH}?id={}", member.reservation);
        let held: u64 = timeout(SILENCE, get(member.address, &path)).await.ok()??;
        total += held;
    }
    Some(total)
}

/// Ends the request when an engine of its group is gone or has given its memory to others: the
/// part of the prompt that it held is lost.
pub async fn watch_group(
    engine: Weak<Server<FakeEngine>>,
    attempt: AttemptId,
    group: Vec<GroupMember>,
) {
    while engine
        .upgrade()
        .is_some_and(|engine| is_at_work(&engine, attempt))
    {
        if group_tokens(&group).await.is_none()
            && let Some(engine) = engine.upgrade()
        {
            engine.state().drop_work(attempt);
        }
        task::sleep(LOOK).await;
    }
}

fn is_at_work(engine: &Server<FakeEngine>, attempt: AttemptId) -> bool {
    let state = engine.state();
    state.work().any(|work| work.request.attempt == attempt)
}
