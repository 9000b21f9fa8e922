//! Permission to send to targets with a limit, granted by the instance that holds the quota for all.

use {
    super::{decision_line::Decision, entry_state::EntryState},
    crate::clock::timeout,
    std::net::SocketAddr,
    whinlatch_serving::{
        fleet::Frame,
        names::TargetId,
        quotas::{Permission, PermitRequest, PermitResponse},
    },
};

/// Timeout for the response to a permit request, in ms: two network crossings, and the time that a small
/// instance takes to process it.
const PERMIT_TIMEOUT_MS: u64 = 40;

/// Returns whether a request may be sent to a target now. Asks the holder of the quota if necessary, and logs
/// a refusal.
pub async fn is_permitted(state: &EntryState, target: &TargetId) -> bool {
    let permission = state.serving().request_permission(state.now(), target);
    let asked_holder = match permission {
        Permission::Granted => return true,
        Permission::Refused => None,
        Permission::AskHolder { holder, request } => {
            let response = ask_holder(state, holder, &request).await;
            let now = state.now();
            if state.serving().apply_permit_response(now, target, response) {
                return true;
            }
            Some(holder)
        }
    };
    log_refusal(state, target, asked_holder);
    false
}

fn log_refusal(state: &EntryState, target: &TargetId, asked_holder: Option<SocketAddr>) {
    let now = state.now();
    let serving = state.serving();
    let opens_at = serving.closed_until(now, target);
    state.log(&Decision::NotPermitted {
        target: target.to_string(),
        limit_per_s: serving.limit_per_s(now, target),
        holder: asked_holder.map(|holder| holder.to_string()),
        opens_in_ms: opens_at.map(|at| at.since(now)),
    });
}

async fn ask_holder(
    state: &EntryState,
    holder: SocketAddr,
    request: &PermitRequest,
) -> Option<PermitResponse> {
    let pending = state.links.permits.begin(request.number);
    let frame = Frame {
        permit_request: Some(request.clone()),
        ..Frame::default()
    };
    state.send(&[holder], &frame);
    let received = timeout(
        state.clock.as_ref(),
        PERMIT_TIMEOUT_MS,
        pending.response.recv(),
    );
    received.await?.ok()
}

/// Counts a call that is made without permission towards the limit of its target.
pub fn note_unpermitted_send(state: &EntryState, target: &TargetId) {
    let report = state.serving().note_unpermitted_send(state.now(), target);
    if let Some((holder, frame)) = report {
        state.send(&[holder], &frame);
    }
}
