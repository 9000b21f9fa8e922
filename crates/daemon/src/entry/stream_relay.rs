//! Serves prompts: sends each to an engine, relays its stream, and resumes a broken stream at another engine.

use {
    super::{
        answer_limits::max_answer_bytes,
        answers::{CallerAnswer, NOT_RUN_STATUSES},
        attempt::{
            AttemptFault, SentAttempt, record_answer, record_broken_attempt, request_connection,
            send_request,
        },
        decision_line::Decision,
        engine_life::EngineLife,
        entry_state::EntryState,
        event_splitter::EventSplitter,
        exchange::RequestEnd,
        forward::Forward,
        http::ResponseHead,
        placing::place_prompt,
        plain_calls::{record_failed_attempt, return_unsent_retry},
        request_context::RequestContext,
        reservations::Reservations,
        silence::SilenceKind,
        silence_watch::{PlacedPrompt, Replacement, SilenceWatch},
        stream_progress::StreamProgress,
        target_connection::TargetConnection,
    },
    futures::{FutureExt, future::pending, pin_mut, select},
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetHead,
    whinlatch_serving::{PromptPlacement, Refusal, fleet::JobId, names::TargetId},
};

/// Engines that are tried before a prompt fails.
const MAX_TARGETS: usize = 4;
/// Another engine is looked for if the first event takes three times its expected time and this, in ms: an engine detects a dead
/// helper within 1,500 ms and reports it itself.
const FIRST_EVENT_GRACE_MS: u64 = 1_800;
/// Pause between events after which another engine is looked for, in ms. It is longer than a pass that reads parts of several
/// long prompts, which takes up to three seconds.
pub(super) const MAX_EVENT_PAUSE_MS: u64 = 5_000;
/// Shortest wait for a first event, in tenths of the route's patience. The rest is left for an attempt at another
/// engine.
const FIRST_EVENT_PATIENCE_TENTHS: u64 = 6;

/// Reason for which a stream isn't resumed whose last event no other target knows.
const UNRESUMABLE: &str = "the stream broke off after an event without a number as its id";

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
    /// Engines that were chosen for the next attempt while the engine of the last one was silent.
    replacement: Option<PlacedPrompt<'a>>,
}

/// An attempt that is being sent, or whose answer is relayed.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningAttempt<'p> {
    /// Its engines.
    pub(super) placement: &'p PromptPlacement,
    /// Engines of earlier attempts.
    pub(super) tried: &'p [TargetId],
    /// Signs of life of its engine.
    pub(super) life: &'p EngineLife<'p>,
    /// Time by which its first event is expected.
    pub(super) first_event_by: MonoMs,
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
        replacement: None,
    };
    relay.run().await
}

impl<'a> Relay<'a> {
    async fn run(&mut self) -> RequestEnd {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut forward = Forward::new(self.state, self.context, self.answer);
        loop {
            let (placement, guard) = match self.next_engines(&mut forward, &tried).await {
                Ok(placed) => placed,
                Err(end) => return end,
            };
            let target = placement.engine.clone();
            let fault = match self.attempt(&placement, &tried).await {
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
            if !self.splitter.is_resumable() {
                return RequestEnd::cut(UNRESUMABLE.to_owned());
            }
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

    /// Returns the engines for the next attempt, or the end of the request where there is none.
    async fn next_engines(
        &mut self,
        forward: &mut Forward<'_>,
        tried: &[TargetId],
    ) -> Result<PlacedPrompt<'a>, RequestEnd> {
        if let Some(placed) = self.replacement.take() {
            return Ok(placed);
        }
        loop {
            if forward.is_due(self.runs)
                && let Some(end) = Box::pin(self.serve_through_peer(forward)).await
            {
                return Err(end);
            }
            if forward.is_hopeless() || self.runs >= self.context.route.max_attempts {
                return Err(self.give_up(Refusal::NoTarget).await);
            }
            match self.place(tried).await {
                Ok(placed) => return Ok(placed),
                Err(_) if forward.resort_to_peer(self.runs) => {}
                Err(refusal) => return Err(self.give_up(refusal).await),
            }
        }
    }

    async fn place(&self, tried: &[TargetId]) -> Result<PlacedPrompt<'a>, Refusal> {
        let now = self.state.now();
        let request = self.progress().prompt_request(now, tried.to_vec());
        place_prompt(self.state, request.ok_or(Refusal::NoTarget)?).await
    }

    fn progress(&self) -> StreamProgress<'a> {
        StreamProgress {
            context: self.context,
            answer: self.answer,
            first_event_at: self.first_event_at,
            last_event_at: self.last_event_at,
        }
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

    async fn attempt(
        &mut self,
        placement: &PromptPlacement,
        tried: &[TargetId],
    ) -> Result<StreamEnd, AttemptFault> {
        let state = self.state;
        let reservations = Reservations::reserve(state, placement).await?;
        let connection = request_connection(state, &placement.engine).await?;
        let sent = SentAttempt {
            was_reused: connection.is_reused,
            at: state.now(),
        };
        let resumes_after = self.last_event_id();
        self.attempt_begins_after = resumes_after.unwrap_or(0);
        self.splitter.begin_attempt(resumes_after);
        let request = self.request(placement, &reservations);
        self.log_sent(placement);
        self.answer.set_may_have_run(true);
        let life = EngineLife::new(state, &placement.engine);
        let attempt = RunningAttempt {
            placement,
            tried,
            life: &life,
            first_event_by: sent.at + self.first_event_wait_ms(placement),
        };
        let end = {
            let may_move = self.may_move(tried);
            let served = self.serve(&attempt, connection, &request).fuse();
            let unused = reservations.renew_while_used(&life).fuse();
            let restarted = until_restarted(&life, &reservations, may_move).fuse();
            pin_mut!(served, unused, restarted);
            select! {
                end = served => end,
                fault = unused => Err(fault),
                () = restarted => Err(AttemptFault::Restarted),
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
        attempt: &RunningAttempt<'_>,
        mut connection: TargetConnection,
        request: &[u8],
    ) -> Result<StreamEnd, AttemptFault> {
        let engine = &attempt.placement.engine;
        let due = (attempt.first_event_by, SilenceKind::FirstEvent);
        let watch = self.silence_watch(attempt, due);
        let (state, context) = (self.state, self.context);
        let may_repeat = self.may_move(attempt.tried);
        let responded = send_request(state, engine, &mut connection, context, request, may_repeat);
        let head = match watch.unless_replaced(responded).await {
            Ok(head) => head?,
            Err(replacement) => return Err(self.accept_replacement(replacement)),
        };
        attempt.life.record_answer(self.state.now());
        self.answer.record_framing(head.framing);
        if !head.is_success() {
            return read_failure(connection, head).await;
        }
        self.relay(attempt, connection, head).await
    }

    /// Watches the engine of an attempt, from which more is expected by `due`.
    pub(super) fn silence_watch<'p>(
        &self,
        attempt: &RunningAttempt<'p>,
        due: (MonoMs, SilenceKind),
    ) -> SilenceWatch<'a, 'p> {
        SilenceWatch {
            state: self.state,
            progress: self.progress(),
            engine: &attempt.placement.engine,
            life: attempt.life,
            tried: attempt.tried,
            due,
            may_move: self.may_move(attempt.tried),
        }
    }

    /// Keeps the engines that take the prompt of a silent one for the next attempt. Returns the end of this one.
    pub(super) fn accept_replacement(&mut self, replacement: Replacement<'a>) -> AttemptFault {
        self.replacement = replacement.placed;
        AttemptFault::Silent(replacement.silence)
    }

    /// Returns the id of the event after which the next attempt goes on, if the caller has any.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        self.splitter.last_id().or(self.context.resumes_after)
    }

    /// Returns the number of events that have arrived in the current attempt.
    pub(super) fn attempt_events(&self) -> u64 {
        let last = self.last_event_id().unwrap_or(0);
        last.saturating_sub(self.attempt_begins_after)
    }

    fn request(&self, placement: &PromptPlacement, reservations: &Reservations<'_>) -> Vec<u8> {
        let helpers = reservations.entries(&placement.helpers);
        let last_event_id = self.context.last_event_id(self.splitter.last_id());
        self.context.for_target(&TargetHead {
            left_ms: self.context.deadline.since(self.state.now()),
            target: placement.engine.name(),
            account: self.context.account.as_deref(),
            last_event_id: last_event_id.as_deref(),
            helpers: &helpers,
            rank: None,
        })
    }

    /// Time after which another engine is looked for if the first event of an attempt isn't there, in ms.
    fn first_event_wait_ms(&self, placement: &PromptPlacement) -> u64 {
        let patience_ms = self.context.route.patience_ms;
        (3 * placement.first_event_ms as u64 + FIRST_EVENT_GRACE_MS)
            .max(patience_ms * FIRST_EVENT_PATIENCE_TENTHS / 10)
    }

    /// Returns whether another engine may take the prompt from that of the current attempt, which may have run it.
    fn may_move(&self, tried: &[TargetId]) -> bool {
        let route = &self.context.route;
        route.retry_policy.is_idempotent()
            && self.splitter.is_resumable()
            && self.runs + 1 < route.max_attempts
            && self.answer.progress().sends <= route.max_attempts
            && tried.len() + 1 < MAX_TARGETS
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

/// Completes when the answering engine has restarted; never without another attempt and without reserved memory, where
/// nothing is gained by giving up an answer.
async fn until_restarted(life: &EngineLife<'_>, reservations: &Reservations<'_>, may_move: bool) {
    if !may_move && !reservations.holds_memory() {
        return pending().await;
    }
    life.until_restarted(may_move).await;
}

async fn read_failure(
    mut connection: TargetConnection,
    head: ResponseHead,
) -> Result<StreamEnd, AttemptFault> {
    let body = connection
        .complete_body(&head, max_answer_bytes(&head))
        .await?;
    Ok(StreamEnd::Failure(head, body))
}
