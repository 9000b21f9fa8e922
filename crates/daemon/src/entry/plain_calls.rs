//! Calls of plain services. An answer is read completely before any of it is passed on, so that a broken one
//! can still be replaced by another target's.

mod call_guard;
mod forwarded_call;
mod hedge;
mod plain_call;
mod possible_runs;

use {
    super::{
        answers::{CallerAnswer, NOT_RUN_STATUSES},
        attempt::{AttemptFault, NotRun},
        decision_line::Decision,
        entry_state::EntryState,
        exchange::RequestEnd,
        forward::Forward,
        request_context::RequestContext,
    },
    hedge::EndedAttempt,
    plain_call::{CompleteAnswer, PlainCall},
    whinlatch_serving::{Refusal, names::TargetId, targets::TargetEntry},
};

/// Targets that are tried before the request fails.
const MAX_TARGETS: usize = 4;

/// Serves a call: tries targets until one answers or the attempts are used up.
pub async fn serve_call(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> RequestEnd {
    let call = PlainCall::new(state, context, answer);
    let is_idempotent = context.route.retry_policy.is_idempotent();
    let mut tried: Vec<TargetId> = Vec::new();
    let mut has_hedged = false;
    let mut forward = Forward::new(state, context, answer);
    let mut failure: Option<CompleteAnswer> = None;
    state
        .serving()
        .record_hedgeable_call(&context.service, &context.route);
    loop {
        if forward.is_due(call.runs.count())
            && let Some(end) = call.serve_through_peer(&mut forward).await
        {
            return end;
        }
        if forward.is_hopeless() || call.runs.count() >= context.route.max_attempts {
            return give_up(state, context, answer, Refusal::NoTarget, failure).await;
        }
        let placed = match call.place(&tried).await {
            Ok(placed) => placed,
            Err(_) if forward.resort_to_peer(call.runs.count()) => continue,
            Err(refusal) => return give_up(state, context, answer, refusal, failure).await,
        };
        let EndedAttempt { target, end } = call.attempt(placed, &mut has_hedged, &mut tried).await;
        match end {
            Ok(received) if received.head.status < 500 || !is_idempotent => {
                return pass_on(answer, &received).await;
            }
            Ok(received) => failure = Some(received),
            Err(fault) => {
                record_failed_attempt(state, context, &target, &fault);
                return_unsent_retry(state, context, answer, &fault);
                forward.record_fault(&fault);
                if fault.may_have_run() && !is_idempotent {
                    let reason = fault.to_string();
                    return RequestEnd::error(answer, 502, &reason, None).await;
                }
            }
        }
        if call.runs.count() >= context.route.max_attempts
            || answer.progress().sends > context.route.max_attempts
            || tried.len() >= MAX_TARGETS
        {
            return give_up(state, context, answer, Refusal::NoTarget, failure).await;
        }
    }
}

/// Records a failed attempt in the log, the metrics and the state that later choices use.
pub fn record_failed_attempt(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    fault: &AttemptFault,
) {
    let may_have_run = fault.may_have_run();
    state.metrics.record_attempt_failed(may_have_run);
    state.log(&Decision::AttemptFailed {
        request: context.caller.request_id.clone(),
        target: target.id.to_string(),
        fault: fault.to_string(),
        may_have_run,
        silence: fault.silence().map(|silence| silence.kind.name()),
        silent_ms: fault.silence().map(|silence| silence.silent_ms),
    });
    let now = state.now();
    if fault.is_unreachable() {
        state.serving().record_unreachable(now, &target.id);
    }
    if let AttemptFault::NotRun(not_run) = fault {
        record_not_run(state, target, not_run);
    }
}

/// Returns a retry to the budget that wasn't sent. Guards against refusals for too many retries while none arrives at a
/// target.
pub fn return_unsent_retry(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
    fault: &AttemptFault,
) {
    if fault.is_unsent() && answer.progress().sends > 0 {
        state.serving().return_retry(state.now(), &context.service);
    }
}

/// Applies what a target's refusal reveals: that another target has taken over its address, or that a
/// helper failed.
fn record_not_run(state: &EntryState, target: &TargetEntry, not_run: &NotRun) {
    let now = state.now();
    let mut serving = state.serving();
    if not_run.is_misdirected {
        serving.record_takeover(&target.id);
    }
    let helper = not_run.at_fault.filter(|at| *at != target.address);
    if let Some(helper) = helper {
        serving.record_helper_failure(now, helper);
    }
}

/// Passes on a target's answer. A status that promises that nothing ran, without the target's
/// confirmation, is replaced by 502.
async fn pass_on(answer: &CallerAnswer<'_>, received: &CompleteAnswer) -> RequestEnd {
    let status = received.head.status;
    if NOT_RUN_STATUSES.contains(&status) {
        let message = "the target failed without saying whether the request ran";
        return RequestEnd::error(answer, 502, message, None).await;
    }
    match answer.write_full(&received.head, &received.body).await {
        Ok(()) => RequestEnd::answered(status),
        Err(_gone) => RequestEnd::caller_gone(),
    }
}

async fn give_up(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
    refusal: Refusal,
    failure: Option<CompleteAnswer>,
) -> RequestEnd {
    if let Some(failure) = failure {
        return pass_on(answer, &failure).await;
    }
    RequestEnd::refused(state, answer, context, refusal).await
}
