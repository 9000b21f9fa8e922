//! Calls of plain services: the answer is taken whole before any of it is passed on.

use {
    super::{
        answers::{CallerAnswer, PROMISES},
        attempt::{AttemptFault, NotRun, ask, connection, note_crash},
        decision_line::Decision,
        entry_state::EntryState,
        exchange::Ended,
        http::ResponseHead,
        permits::is_permitted,
        request_context::RequestContext,
        target_connection::TargetConnection,
    },
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetHead,
    whinlatch_serving::{CallRequest, Refusal, names::TargetId, targets::TargetEntry},
};

/// Targets that are asked for a connection before the request is given up.
const MOST_TARGETS: usize = 4;

/// A target's whole answer.
#[derive(Debug)]
struct WholeAnswer {
    head: ResponseHead,
    body: Vec<u8>,
}

/// Counts a call as sent to a target until it is dropped.
#[derive(Debug)]
struct CallGuard<'a> {
    state: &'a EntryState,
    target: &'a TargetId,
    sent_at: MonoMs,
    failed: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let took_ms = now.since(self.sent_at) as f64;
        self.state
            .serving()
            .record_call_ended(now, self.target, took_ms, self.failed);
    }
}

/// Serves a call.
pub async fn serve_call(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> Ended {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut runs = 0;
    let mut failure: Option<WholeAnswer> = None;
    loop {
        let ask = CallRequest {
            service: &context.service,
            fingerprint: context.fingerprint,
            tried: &tried,
            is_repeat: answer.progress().sends > 0,
        };
        let target = match place(state, ask).await {
            Ok(target) => target,
            Err(refusal) => return give_up(state, context, answer, refusal, failure).await,
        };
        let end = attempt(state, context, answer, &target).await;
        tried.push(target.id.clone());
        match end {
            Ok(whole) if whole.head.status < 500 || !context.route.retry_policy.is_idempotent() => {
                return pass_on(answer, &whole).await;
            }
            Ok(whole) => {
                runs += 1;
                failure = Some(whole);
            }
            Err(fault) => {
                runs += u32::from(fault.may_have_run());
                note_failed(state, context, &target, &fault);
                if fault.may_have_run() && !context.route.retry_policy.is_idempotent() {
                    let reason = fault.to_string();
                    return Ended::own(answer, 502, &reason, None).await;
                }
                if !fault.may_have_run() {
                    answer.set_may_have_run(runs > 0);
                }
            }
        }
        if runs >= context.route.max_attempts
            || answer.progress().sends > context.route.max_attempts
            || tried.len() >= MOST_TARGETS
        {
            return give_up(state, context, answer, Refusal::NoTarget, failure).await;
        }
    }
}

/// Chooses a target to which the call may be sent, and counts it as sent there.
async fn place(state: &EntryState, mut ask: CallRequest<'_>) -> Result<TargetEntry, Refusal> {
    loop {
        let target = state.serving().place_call(state.now(), &ask)?.target;
        if is_permitted(state, &target.id).await {
            return Ok(target);
        }
        state.serving().record_call_withdrawn(&target.id);
        // The budget has let this repeat through.
        ask.is_repeat = false;
    }
}

async fn attempt(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
    target: &TargetEntry,
) -> Result<WholeAnswer, AttemptFault> {
    let mut guard = CallGuard {
        state,
        target: &target.id,
        sent_at: state.now(),
        failed: true,
    };
    let connection = connection(state, target).await?;
    let was_reused = connection.is_reused;
    let now = state.now();
    let bytes = context.for_target(&TargetHead {
        left_ms: context.due.since(now),
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
        slack_ms: context.due.since(now).cast_signed(),
        pause_limit_ms: None,
        fingerprint: context.fingerprint_text(),
        attempt: answer.note_sent(),
        weighed: None,
    });
    answer.set_may_have_run(true);
    let whole = exchange_whole(state, context, target, connection, &bytes).await;
    match &whole {
        Ok(whole) => guard.failed = whole.head.status >= 500,
        Err(fault) => note_crash(state, context, target, fault, was_reused),
    }
    whole
}

async fn exchange_whole(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    mut connection: TargetConnection,
    request: &[u8],
) -> Result<WholeAnswer, AttemptFault> {
    let head = ask(state, target, &mut connection, context, request).await?;
    let body = connection.whole_body(&head).await?;
    if head.is_kept {
        let now = state.now();
        state
            .pool
            .put(now, target.address, connection, head.keep_ms);
    }
    Ok(WholeAnswer { head, body })
}

/// Notes an attempt in vain, for the log, the figures and later choices.
pub fn note_failed(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    fault: &AttemptFault,
) {
    let may_have_run = fault.may_have_run();
    state.metrics.note_attempt_failed(may_have_run);
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
        note_not_run(state, target, not_run);
    }
}

/// Notes what a target's refusal tells of where targets are and which ones work.
fn note_not_run(state: &EntryState, target: &TargetEntry, not_run: &NotRun) {
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

/// Passes on a target's answer. A failure whose status promises that nothing ran, from a target
/// that doesn't say so, becomes a failure that promises nothing.
async fn pass_on(answer: &CallerAnswer<'_>, whole: &WholeAnswer) -> Ended {
    let status = whole.head.status;
    if PROMISES.contains(&status) {
        let message = "the target failed without a word on whether the request ran";
        return Ended::own(answer, 502, message, None).await;
    }
    match answer.whole(&whole.head, &whole.body).await {
        Ok(()) => Ended::answered(status),
        Err(_gone) => Ended::caller_gone(),
    }
}

async fn give_up(
    state: &EntryState,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
    refusal: Refusal,
    failure: Option<WholeAnswer>,
) -> Ended {
    if let Some(whole) = failure {
        return pass_on(answer, &whole).await;
    }
    Ended::refused(state, answer, context, refusal).await
}
