use {
    super::json_call::{CallError, WholeAnswer, get_json, post_json},
    crate::shared::Shared,
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{MonoMs, TargetCall, TargetEvent},
    whinlatch_wire::{
        ids::{AttemptId, TargetName},
        target::{
            CACHE_EVENTS_PATH, CANCEL_PATH, ORDERS_PATH, Order, OrderAnswer, RELEASE_PATH,
            REPORT_PATH, RESERVE_PATH, Refusal, ReserveRequest, STATE_PATH,
        },
    },
};

/// Time for a control call to be answered, in ms.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Largest answer to a read of reports, states or cache events, in bytes.
const MAX_READ_BYTES: u64 = 16 * 1_048_576;
/// Times that a cancel or release is sent until it succeeds. Both are idempotent. If all fail, the
/// target frees the resources at its own deadline.
const MAX_SENDS: u32 = 5;
/// Time between two of these sends, in ms.
const RESEND_INTERVAL_MS: u64 = 500;
/// HTTP statuses of success.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// Makes a control call to a target and reports its answer to the control thread. Cancels and
/// releases report nothing, nor does an order without an answer.
pub async fn call(shared: Arc<Shared>, target: TargetName, address: SocketAddr, call: TargetCall) {
    let event = match call {
        TargetCall::Report => read(&shared, address, REPORT_PATH, TargetEvent::Report).await,
        TargetCall::State => read(&shared, address, STATE_PATH, TargetEvent::State).await,
        TargetCall::CacheEvents { after } => {
            let path = format!("{CACHE_EVENTS_PATH}?after={after}");
            read(&shared, address, &path, TargetEvent::Cache).await
        }
        TargetCall::Order { order, send_before } => {
            match send_order(&shared, address, &order, send_before).await {
                Some(event) => event,
                None => return,
            }
        }
        TargetCall::Reserve {
            reserve: request,
            send_before,
        } => reserve(&shared, address, &request, send_before).await,
        TargetCall::Release(release) => {
            return send_until_done(&shared, address, RELEASE_PATH, &release).await;
        }
        TargetCall::Cancel(cancel) => {
            return send_until_done(&shared, address, CANCEL_PATH, &cancel).await;
        }
    };
    shared.control.report_target(target, event).await;
}

async fn read<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    event: impl FnOnce(T) -> TargetEvent,
) -> TargetEvent {
    get_json(shared, address, path, CALL_TIMEOUT_MS, MAX_READ_BYTES)
        .await
        .map_or(TargetEvent::Unreachable, event)
}

/// Sends an order. Without an answer there is no event: the target's state is read again anyway.
async fn send_order(
    shared: &Shared,
    address: SocketAddr,
    order: &Order,
    send_before: MonoMs,
) -> Option<TargetEvent> {
    let posted = post_json(
        shared,
        address,
        ORDERS_PATH,
        order,
        send_before,
        CALL_TIMEOUT_MS,
    );
    let answer: OrderAnswer = posted.await.ok()?.json().ok()?;
    Some(TargetEvent::Ordered(answer.verdict))
}

async fn reserve(
    shared: &Shared,
    address: SocketAddr,
    request: &ReserveRequest,
    send_before: MonoMs,
) -> TargetEvent {
    let reservation = request.reservation;
    let posted = post_json(
        shared,
        address,
        RESERVE_PATH,
        request,
        send_before,
        CALL_TIMEOUT_MS,
    );
    match posted.await {
        Ok(answer) if SUCCESS.contains(&answer.status) => TargetEvent::Reserved(reservation),
        Ok(answer) if is_refusal_of(&answer, reservation) => {
            TargetEvent::ReserveRefused(reservation)
        }
        Err(CallError::NotSent) => TargetEvent::ReserveRefused(reservation),
        // A failure without a refusal doesn't tell whether the memory is reserved.
        Ok(_) | Err(_) => TargetEvent::ReserveLost(reservation),
    }
}

fn is_refusal_of(answer: &WholeAnswer, reservation: AttemptId) -> bool {
    answer
        .json::<Refusal>()
        .is_ok_and(|refusal| refusal.attempt == reservation)
}

/// Sends a cancel or release, and sends it again until it succeeds or `MAX_SENDS` is reached.
async fn send_until_done<T: Serialize>(shared: &Shared, address: SocketAddr, path: &str, body: &T) {
    for _send in 0..MAX_SENDS {
        let send_before = shared.clock.now() + CALL_TIMEOUT_MS;
        let posted = post_json(shared, address, path, body, send_before, CALL_TIMEOUT_MS);
        if posted
            .await
            .is_ok_and(|answer| SUCCESS.contains(&answer.status))
        {
            return;
        }
        shared.clock.sleep(RESEND_INTERVAL_MS).await;
    }
}
