//! Calls of plain services. An answer is read completely before any of it is passed on, so that a broken one
//! can still be replaced by another target's.

use {
    super::{
        answers::{CallerAnswer, NOT_RUN_STATUSES},
        attempt::{AttemptFault, NotRun, record_crash, request_connection, send_request},
        decision_line::Decision,
        entry_state::EntryState,
        exchange::RequestEnd,
        http::ResponseHead,
        permits::is_permitted,
        request_context::RequestContext,
        target_connection::TargetConnection,
    },
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetHead,
    whinlatch_serving::{CallRequest, Refusal, names::TargetId, targets::TargetEntry},
};

/// Targets that are tried before the request fails.
const MAX_TARGETS: usize = 4;

/// A target's answer, received completely.
#[derive(Debug)]
struct CompleteAnswer {
    head: ResponseHead,
    body: Vec<u8>,
}

/// Counts a call towards its target's load until dropped, also when the call is cancelled.
#[derive(Debug)]
struct CallGuard<'a> {
    state: &'a EntryState,
    target: &'a TargetId,
    sent_at: MonoMs,
    failed: bool,
    /// Whether the call ended with an answer or a fault of the connection, rather than being given up.
    has_ended: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let took_ms = now.since(self.sent_at) as f64;
        let mut serving = self.state.serving();
        if self.has_ended {
            serving.record_call_ended(now, self.target, took_ms, self.failed);
        } else {
            serving.record_call_unanswered(now, self.target, took_ms);
        }
    }
}

/// Serves a call: tries targets until one answers or the attempts are used up.
pub async fn serve_call(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> RequestEnd {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut runs = 0;
    let mut failure: Option<CompleteAnswer> = None;
    loop {
        let request = CallRequest {
            service: &context.service,
            fingerprint: context.fingerprint,
            tried: &tried,
            is_repeat: answer.progress().sends > 0,
        };
        let target = match place_call(state, request).await {
            Ok(target) => target,
            Err(refusal) => return give_up(state, context, answer, refusal, failure).await,
        };
        let end = attempt(state, context, answer, &target).await;
        tried.push(target.id.clone());
        match end {
            Ok(received)
                if received.head.status < 500 || !context.route.retry_policy.is_idempotent() =>
            {
                return pass_on(answer, &received).await;
            }
            Ok(received) => {
                runs += 1;
                failure = Some(received);
            }
            Err(fault) => {
                runs += u32::from(fault.may_have_run());
                record_failed_attempt(state, context, &target, &fault);
                if fault.may_have_run() && !context.route.retry_policy.is_idempotent() {
                    let reason = fault.to_string();
                    return RequestEnd::error(answer, 502, &reason, None).await;
                }
                if !fault.may_have_run() {
                    // Set by this attempt; only earlier ones may have run.
                    answer.set_may_have_run(runs > 0);
                }
            }
        }
        if runs >= context.route.max_attempts
            || answer.progress().sends > context.route.max_attempts
            || tried.len() >= MAX_TARGETS
        {
            return give_up(state, context, answer, Refusal::NoTarget, failure).await;
        }
    }
}

/// Chooses a target that permits the call, and counts the call towards its load.
async fn place_call(
    state: &EntryState,
    mut request: CallRequest<'_>,
) -> Result<TargetEntry, Refusal> {
    loop {
        let target = state.serving().place_call(state.now(), &request)?.target;
        if is_permitted(state, &target.id).await {
            return Ok(target);
        }
        state.serving().record_call_withdrawn(&target.id);
        // The retry budget has already been charged for this retry.
        request.is_repeat = false;
    }
}

async fn attempt(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
    target: &TargetEntry,
) -> Result<CompleteAnswer, AttemptFault> {
    let mut guard = CallGuard {
        state,
        target: &target.id,
        sent_at: state.now(),
        failed: true,
        has_ended: false,
    };
    let connection = request_connection(state, target).await;
    guard.has_ended = connection.is_err();
    let connection = connection?;
    let was_reused = connection.is_reused;
    let now = state.now();
    let bytes = context.for_target(&TargetHead {
        left_ms: context.deadline.since(now),
        target: target.name(),
        account: context.account.as_deref(),
        last_event_id: None,
        helpers: &[],
        rank: None,
    });
    state.log(&Decision::Sent {
        request: context.caller.request_id.clone(),
        route: context.route.name.clone(),
        version: context.version,
        target: target.id.to_string(),
        helpers: Vec::new(),
        expected_ms: 0,
        slack_ms: context.deadline.since(now).cast_signed(),
        pause_limit_ms: None,
        fingerprint: context.fingerprint_text(),
        attempt: answer.record_send(),
        inputs: None,
    });
    answer.set_may_have_run(true);
    let received = send_and_receive(state, context, target, connection, &bytes).await;
    guard.has_ended = !matches!(received, Err(AttemptFault::Silent));
    match &received {
        Ok(received) => guard.failed = received.head.status >= 500,
        Err(fault) => record_crash(state, context, target, fault, was_reused),
    }
    received
}

async fn send_and_receive(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    mut connection: TargetConnection,
    request: &[u8],
) -> Result<CompleteAnswer, AttemptFault> {
    let head = send_request(state, target, &mut connection, context, request).await?;
    let body = connection.complete_body(&head).await?;
    if head.keeps_alive {
        let now = state.now();
        state
            .pool
            .put(now, target.address, connection, head.keep_alive_ms);
    }
    Ok(CompleteAnswer { head, body })
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
    });
    let now = state.now();
    if fault.is_unreachable() {
        state.serving().record_unreachable(now, &target.id);
    }
    if let AttemptFault::NotRun(not_run) = fault {
        record_not_run(state, target, not_run);
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
