//! Serves prompts: sends each to an engine, relays its stream, and resumes a broken stream at another engine.

use {
    super::{
        answers::{CallerAnswer, NOT_RUN_STATUSES},
        attempt::{
            AttemptFault, SentAttempt, record_answer, record_broken_attempt, request_connection,
            send_request,
        },
        decision_line::Decision,
        engine_life::until_engine_is_lost,
        entry_state::EntryState,
        event_splitter::EventSplitter,
        exchange::RequestEnd,
        forward::Forward,
        http::ResponseHead,
        job_guard::JobGuard,
        placing::place_prompt,
        plain_calls::{record_failed_attempt, return_unsent_retry},
        request_context::RequestContext,
        reservations::Reservations,
        target_connection::TargetConnection,
    },
    crate::clock::timeout,
    futures::{FutureExt, future::pending, pin_mut, select},
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetHead,
    whinlatch_serving::{
        PromptPlacement, PromptRequest, Refusal,
        fleet::JobId,
        names::{AccountId, TargetId},
    },
};

/// Engines that are tried before a prompt fails.
const MAX_TARGETS: usize = 4;
/// The timeout for the first event is three times its expected time and this, in ms: an engine detects a dead
/// helper within 1,500 ms and reports it itself.
const FIRST_EVENT_GRACE_MS: u64 = 1_800;
/// Pause between events after which an attempt fails, in ms. It is longer than a pass that reads parts of several
/// long prompts, which takes up to three seconds.
pub(super) const MAX_EVENT_PAUSE_MS: u64 = 5_000;
/// Shortest wait for a first event, in tenths of the route's patience. The rest is left for an attempt at another
/// engine.
const FIRST_EVENT_PATIENCE_TENTHS: u64 = 6;
/// Assumed length of an answer if the caller gives no estimate, in tokens.
const ASSUMED_ANSWER_TOKENS: u32 = 600;

/// End of the last attempt of a stream.
pub(super) enum StreamEnd {
    /// All events of the answer with this head were passed on.
    Complete(ResponseHead),
    /// The engine answered with an error status.
    Failure(ResponseHead, Vec<u8>),
    /// The caller disconnected before the end.
    CallerGone,
}

/// Relays one stream to its caller, over all attempts.
pub(super) struct Relay<'a> {
    pub(super) state: &'a Arc<EntryState>,
    pub(super) context: &'a RequestContext,
    pub(super) answer: &'a CallerAnswer<'a>,
    pub(super) splitter: EventSplitter,
    /// When the first event of the stream arrived, over all attempts; `None` before.
    pub(super) first_event_at: Option<MonoMs>,
    /// When the latest event arrived; the start of the relay before the first one.
    pub(super) last_event_at: MonoMs,
    /// Failed attempts that may have run at their engine.
    pub(super) runs: u32,
    /// Id of the event after which the current attempt goes on.
    attempt_begins_after: u64,
}

/// Serves a prompt on a route that streams.
pub async fn serve_stream(
    state: &Arc<EntryState>,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> RequestEnd {
    let mut relay = Relay {
        state,
        context,
        answer,
        splitter: EventSplitter::default(),
        first_event_at: None,
        last_event_at: state.now(),
        runs: context.runs_before(),
        attempt_begins_after: 0,
    };
    relay.run().await
}

impl<'a> Relay<'a> {
    async fn run(&mut self) -> RequestEnd {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut forward = Forward::new(self.state, self.context, self.answer);
        loop {
            if forward.is_due(self.runs)
                && let Some(end) = self.serve_through_peer(&mut forward).await
            {
                return end;
            }
            if forward.is_hopeless() || self.runs >= self.context.route.max_attempts {
                return self.give_up(Refusal::NoTarget).await;
            }
            let (placement, guard) = match self.place(&tried).await {
                Ok(placed) => placed,
                Err(_) if forward.resort_to_peer(self.runs) => continue,
                Err(refusal) => return self.give_up(refusal).await,
            };
            let target = placement.engine.clone();
            let fault = match self.attempt(&placement).await {
                Ok(StreamEnd::Complete(_)) => return RequestEnd::answered(200),
                Ok(StreamEnd::CallerGone) => return RequestEnd::caller_gone(),
                Ok(StreamEnd::Failure(head, body)) => {
                    self.record_engine_failure(placement.job);
                    return self.pass_on(&head, &body).await;
                }
                Err(fault) => fault,
            };
            self.record_engine_failure(placement.job);
            drop(guard);
            record_failed_attempt(self.state, self.context, &target, &fault);
            return_unsent_retry(self.state, self.context, self.answer, &fault);
            tried.push(target.id);
            forward.record_fault(&fault);
            if fault.may_have_run() {
                self.runs += 1;
            } else {
                // Set by this attempt; only earlier ones may have run.
                self.answer.set_may_have_run(self.runs > 0);
            }
            self.splitter.discard_partial();
            let may_retry =
                self.context.route.retry_policy.is_idempotent() || !fault.may_have_run();
            let is_over = self.runs >= self.context.route.max_attempts
                || self.answer.progress().sends > self.context.route.max_attempts
                || tried.len() >= MAX_TARGETS;
            if !may_retry || is_over && !forward.resort_to_peer(self.runs) {
                return self.give_up(Refusal::NoAttempt).await;
            }
        }
    }

    async fn place(&self, tried: &[TargetId]) -> Result<(PromptPlacement, JobGuard<'a>), Refusal> {
        let request = self.prompt_request(tried).ok_or(Refusal::NoTarget)?;
        place_prompt(self.state, request).await
    }

    /// Describes the prompt for a placement now; `None` if the caller's headers don't describe it.
    fn prompt_request(&self, tried: &[TargetId]) -> Option<PromptRequest> {
        let now = self.state.now();
        let Relay {
            context, answer, ..
        } = self;
        let prompt = context.caller.prompt?;
        let max_answer_tokens = prompt.max_answer_tokens;
        let hint = prompt.answer_hint_tokens.unwrap_or(ASSUMED_ANSWER_TOKENS);
        let pause_limit_ms = context.route.pause_limit_ms.unwrap_or(MAX_EVENT_PAUSE_MS);
        let has_begun = self.first_event_at.is_some() || self.is_resumed_for_peer();
        let (since, limit_ms) = if has_begun {
            (self.last_event_at, pause_limit_ms)
        } else {
            (context.arrived, context.route.objective_ms)
        };
        let passed_ms = now.since(since);
        let patience_ms = context.route.patience_ms.saturating_sub(passed_ms);
        Some(PromptRequest {
            service: context.service.clone(),
            account: AccountId::of(context.account.as_ref()),
            priority: context.priority,
            fingerprint: context.fingerprint,
            parts: Arc::clone(&context.caller.shared_parts),
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: hint.min(max_answer_tokens.max(1)),
            max_answer_tokens,
            slack_ms: limit_ms.cast_signed() - passed_ms.cast_signed(),
            pause_limit_ms,
            patience_ms: patience_ms.min(context.deadline.since(now)),
            excluded: tried.to_vec(),
            is_resumed: answer.has_begun() || self.is_resumed_for_peer(),
            is_repeat: answer.progress().sends > 0,
        })
    }

    /// Returns whether a peer has forwarded the request whose caller has a part of the stream already.
    fn is_resumed_for_peer(&self) -> bool {
        let note = self.context.forwarded.as_ref();
        note.is_some_and(|note| note.is_resumed)
    }

    fn record_engine_failure(&self, job: JobId) {
        let now = self.state.now();
        self.state.serving().record_prompt_failure(now, job);
    }

    async fn give_up(&self, refusal: Refusal) -> RequestEnd {
        if self.answer.has_begun() {
            let message = refusal.message();
            return RequestEnd::cut(format!("no engine resumes the stream: {message}"));
        }
        RequestEnd::refused(self.state, self.answer, self.context, refusal).await
    }

    /// Passes on an engine's error. A status that promises that nothing ran, without the engine's
    /// confirmation, is replaced by 502.
    pub(super) async fn pass_on(&self, head: &ResponseHead, body: &[u8]) -> RequestEnd {
        if self.answer.has_begun() || NOT_RUN_STATUSES.contains(&head.status) {
            let message = "the engine failed";
            return RequestEnd::error(self.answer, 502, message, None).await;
        }
        match self.answer.write_full(head, body).await {
            Ok(()) => RequestEnd::answered(head.status),
            Err(_gone) => RequestEnd::caller_gone(),
        }
    }

    async fn attempt(&mut self, placement: &PromptPlacement) -> Result<StreamEnd, AttemptFault> {
        let state = self.state;
        let reservations = Reservations::reserve(state, placement).await?;
        let connection = request_connection(state, &placement.engine).await?;
        let sent = SentAttempt {
            was_reused: connection.is_reused,
            at: state.now(),
        };
        self.attempt_begins_after = self.last_event_id().unwrap_or(0);
        let request = self.request(placement, &reservations);
        self.log_sent(placement);
        self.answer.set_may_have_run(true);
        let end = {
            let watches_life = self.has_another_attempt() || reservations.holds_memory();
            let served = self.serve(placement, connection, &request).fuse();
            let unused = reservations.renew_while_used().fuse();
            let lost = until_lost(state, placement, &reservations, watches_life).fuse();
            pin_mut!(served, unused, lost);
            select! {
                end = served => end,
                fault = unused => Err(fault),
                () = lost => Err(AttemptFault::Lost),
            }
        };
        self.answer
            .record_partial_event(self.splitter.partial_event_bytes());
        let (context, engine) = (self.context, &placement.engine);
        match &end {
            Ok(StreamEnd::Complete(head)) => record_answer(state, context, engine, head, sent),
            Ok(StreamEnd::Failure(..) | StreamEnd::CallerGone) => {}
            Err(fault) => {
                record_broken_attempt(state, context, engine, fault, sent, self.attempt_events());
            }
        }
        end
    }

    /// Sends the prompt and relays the answer.
    async fn serve(
        &mut self,
        placement: &PromptPlacement,
        mut connection: TargetConnection,
        request: &[u8],
    ) -> Result<StreamEnd, AttemptFault> {
        let wait_ms = self.first_event_wait_ms(placement);
        let first_event_by = self.state.now() + wait_ms;
        let engine = &placement.engine;
        let responded = send_request(self.state, engine, &mut connection, self.context, request);
        let head = timeout(self.state.clock.as_ref(), wait_ms, responded)
            .await
            .ok_or(AttemptFault::Silent)??;
        self.answer.record_framing(head.framing);
        if !head.is_success() {
            return read_failure(connection, head).await;
        }
        self.relay(placement, connection, head, first_event_by)
            .await
    }

    /// Returns the id of the last event that the caller has, if it has any.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        let received = self.splitter.last_id();
        received.or(self.context.caller.last_event_id)
    }

    /// Returns the number of events that have arrived in the current attempt.
    pub(super) fn attempt_events(&self) -> u64 {
        let last = self.last_event_id().unwrap_or(0);
        last.saturating_sub(self.attempt_begins_after)
    }

    fn request(&self, placement: &PromptPlacement, reservations: &Reservations<'_>) -> Vec<u8> {
        let helpers = reservations.entries(&placement.helpers);
        self.context.for_target(&TargetHead {
            left_ms: self.context.deadline.since(self.state.now()),
            target: placement.engine.name(),
            account: self.context.account.as_deref(),
            last_event_id: self.last_event_id(),
            helpers: &helpers,
            rank: None,
        })
    }

    /// Timeout for the first event of an attempt, in ms. Without another attempt left it is the time to
    /// the deadline: silence alone is no failure, and giving up earlier would only lose an answer that is late.
    fn first_event_wait_ms(&self, placement: &PromptPlacement) -> u64 {
        if !self.has_another_attempt() {
            return self.context.deadline.since(self.state.now());
        }
        let patience_ms = self.context.route.patience_ms;
        (3 * placement.first_event_ms as u64 + FIRST_EVENT_GRACE_MS)
            .max(patience_ms * FIRST_EVENT_PATIENCE_TENTHS / 10)
    }

    /// Returns whether another engine may take the prompt if this attempt fails.
    pub(super) fn has_another_attempt(&self) -> bool {
        let route = &self.context.route;
        route.retry_policy.is_idempotent() && self.runs + 1 < route.max_attempts
    }

    fn log_sent(&self, placement: &PromptPlacement) {
        let context = self.context;
        let passed_ms = self.state.now().since(context.arrived);
        self.state.log(&Decision::Sent {
            request: context.caller.request_id.clone(),
            route: context.route.name.clone(),
            version: context.version,
            target: placement.engine.id.to_string(),
            helpers: placement
                .helpers
                .iter()
                .map(|helper| helper.id.to_string())
                .collect(),
            expected_ms: placement.first_event_ms as u64,
            slack_ms: context.route.objective_ms.cast_signed() - passed_ms.cast_signed(),
            pause_limit_ms: context.route.pause_limit_ms,
            fingerprint: context.fingerprint_text(),
            attempt: self.answer.record_send(),
            hedge: false,
            inputs: Some(placement.inputs),
        });
    }
}

/// Completes when the answering engine is lost; never unless `watches_life`. Without another attempt and without
/// reserved memory nothing is gained by giving up a late answer.
async fn until_lost(
    state: &EntryState,
    placement: &PromptPlacement,
    reservations: &Reservations<'_>,
    watches_life: bool,
) {
    if !watches_life {
        return pending().await;
    }
    until_engine_is_lost(state, &placement.engine, reservations.holds_memory()).await;
}

async fn read_failure(
    mut connection: TargetConnection,
    head: ResponseHead,
) -> Result<StreamEnd, AttemptFault> {
    let body = connection.complete_body(&head).await?;
    Ok(StreamEnd::Failure(head, body))
}
