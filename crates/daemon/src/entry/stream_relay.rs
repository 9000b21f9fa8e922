//! Prompts: an engine is found and asked, and another one resumes a stream that breaks.

use {
    super::{
        answers::{CallerAnswer, PROMISES},
        answers_whole::note_failed,
        attempt::{AttemptFault, ask, connection, note_crash},
        decision_line::Decision,
        entry_state::EntryState,
        event_splitter::EventSplitter,
        exchange::Ended,
        http::ResponseHead,
        job_guard::JobGuard,
        placing::place,
        request_context::RequestContext,
        reservations::Reservations,
        target_connection::TargetConnection,
    },
    crate::clock::timeout,
    futures::{
        future::{Either, select},
        pin_mut,
    },
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetHead,
    whinlatch_serving::{PromptPlacement, PromptRequest, Refusal, names::TargetId},
};

/// Engines that are asked for a connection before a prompt is given up.
const MOST_TARGETS: usize = 4;
/// Time beyond three times the expected one after which a first event isn't waited for, in ms: an
/// engine notices a dead helper in 1,500 ms and says so itself.
const FIRST_EVENT_GRACE_MS: u64 = 1_800;
/// Pause between events after which an engine is given up, in ms: a pass that reads parts of several
/// long prompts takes up to three seconds, and is no failure.
pub(super) const MOST_PAUSE_MS: u64 = 5_000;
/// Tenths of a caller's patience for which a first event is awaited at least, so that another
/// engine can still give it in time.
const PATIENCE_USED: u64 = 6;
/// Tokens of an answer whose length nobody estimates.
const ASSUMED_ANSWER_TOKENS: u32 = 600;

/// How an attempt ended that wasn't in vain.
pub(super) enum StreamEnd {
    /// All events were passed on.
    Whole,
    /// The engine answered with a failure of its own.
    Failure(ResponseHead, Vec<u8>),
    /// The caller is gone.
    CallerGone,
}

/// A stream on its way to the caller, over all attempts.
pub(super) struct Relay<'a> {
    pub(super) state: &'a Arc<EntryState>,
    pub(super) context: &'a RequestContext,
    pub(super) answer: &'a CallerAnswer<'a>,
    pub(super) splitter: EventSplitter,
    pub(super) first_event_at: Option<MonoMs>,
    pub(super) last_event_at: MonoMs,
    runs: u32,
}

/// Serves a prompt.
pub async fn serve_stream(
    state: &Arc<EntryState>,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> Ended {
    let mut relay = Relay {
        state,
        context,
        answer,
        splitter: EventSplitter::default(),
        first_event_at: None,
        last_event_at: state.now(),
        runs: 0,
    };
    relay.run().await
}

impl<'a> Relay<'a> {
    async fn run(&mut self) -> Ended {
        let mut tried: Vec<TargetId> = Vec::new();
        loop {
            let (place, guard) = match self.place(&tried).await {
                Ok(placed) => placed,
                Err(refusal) => return self.give_up(refusal).await,
            };
            let target = place.engine.clone();
            let fault = match self.attempt(&place).await {
                Ok(StreamEnd::Whole) => return Ended::answered(200),
                Ok(StreamEnd::CallerGone) => return Ended::caller_gone(),
                Ok(StreamEnd::Failure(head, body)) => {
                    self.note_engine_failed(&place);
                    return self.pass_on(&head, &body).await;
                }
                Err(fault) => fault,
            };
            self.note_engine_failed(&place);
            drop(guard);
            note_failed(self.state, self.context, &target, &fault);
            tried.push(target.id);
            if fault.may_have_run() {
                self.runs += 1;
            } else {
                self.answer.set_may_have_run(self.runs > 0);
            }
            self.splitter.drop_half();
            let may_repeat =
                self.context.route.retry_policy.is_idempotent() || !fault.may_have_run();
            let is_over = self.runs >= self.context.route.max_attempts
                || self.answer.progress().sends > self.context.route.max_attempts
                || tried.len() >= MOST_TARGETS;
            if is_over || !may_repeat {
                return self.give_up(Refusal::NoAttempt).await;
            }
        }
    }

    async fn place(&self, tried: &[TargetId]) -> Result<(PromptPlacement, JobGuard<'a>), Refusal> {
        let ask = self.prompt_ask(tried).ok_or(Refusal::NoTarget)?;
        place(self.state, ask).await
    }

    /// What is asked of the engines now; `None` if the caller doesn't say what its prompt is.
    fn prompt_ask(&self, tried: &[TargetId]) -> Option<PromptRequest> {
        let now = self.state.now();
        let Relay {
            context, answer, ..
        } = self;
        let prompt = context.caller.prompt?;
        let most = prompt.max_answer_tokens;
        let hint = prompt.answer_hint_tokens.unwrap_or(ASSUMED_ANSWER_TOKENS);
        let pause_limit_ms = context.route.pause_limit_ms.unwrap_or(MOST_PAUSE_MS);
        let (since, limit_ms) = match self.first_event_at {
            Some(_) => (self.last_event_at, pause_limit_ms),
            None => (context.arrived, context.route.objective_ms),
        };
        let passed_ms = now.since(since);
        let patience_ms = context.route.patience_ms.saturating_sub(passed_ms);
        Some(PromptRequest {
            service: context.service.clone(),
            fingerprint: context.fingerprint,
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: hint.min(most.max(1)),
            max_answer_tokens: most,
            slack_ms: limit_ms.cast_signed() - passed_ms.cast_signed(),
            pause_limit_ms,
            patience_ms: patience_ms.min(context.due.since(now)),
            excluded: tried.to_vec(),
            is_resumed: answer.has_begun(),
            is_repeat: answer.progress().sends > 0,
        })
    }

    fn note_engine_failed(&self, place: &PromptPlacement) {
        let now = self.state.now();
        self.state.serving().record_prompt_failure(now, place.job);
    }

    async fn give_up(&self, refusal: Refusal) -> Ended {
        if self.answer.has_begun() {
            let message = refusal.message();
            return Ended::cut(format!("no engine resumes the stream: {message}"));
        }
        Ended::refused(self.state, self.answer, self.context, refusal).await
    }

    /// Passes on an engine's failure. A status that promises that nothing ran isn't passed on from
    /// an engine that doesn't say so.
    async fn pass_on(&self, head: &ResponseHead, body: &[u8]) -> Ended {
        if self.answer.has_begun() || PROMISES.contains(&head.status) {
            let message = "the engine failed";
            return Ended::own(self.answer, 502, message, None).await;
        }
        match self.answer.whole(head, body).await {
            Ok(()) => Ended::answered(head.status),
            Err(_gone) => Ended::caller_gone(),
        }
    }

    async fn attempt(&mut self, place: &PromptPlacement) -> Result<StreamEnd, AttemptFault> {
        let state = self.state;
        let reservations = Reservations::reserve(state, place).await?;
        let connection = connection(state, &place.engine).await?;
        let was_reused = connection.is_reused;
        let request = self.request(place, &reservations);
        self.log_sent(place);
        self.answer.set_may_have_run(true);
        let end = {
            let served = self.serve(place, connection, &request);
            let kept = reservations.keep();
            pin_mut!(served, kept);
            match select(served, kept).await {
                Either::Left((end, _)) => end,
                Either::Right((fault, _)) => Err(fault),
            }
        };
        if let Err(fault) = &end {
            note_crash(state, self.context, &place.engine, fault, was_reused);
        }
        end
    }

    /// Sends the prompt and passes on what comes back.
    async fn serve(
        &mut self,
        place: &PromptPlacement,
        mut connection: TargetConnection,
        request: &[u8],
    ) -> Result<StreamEnd, AttemptFault> {
        let wait_ms = self.first_event_wait_ms(place);
        let first_event_by = self.state.now() + wait_ms;
        let engine = &place.engine;
        let asked = ask(self.state, engine, &mut connection, self.context, request);
        let head = timeout(self.state.clock.as_ref(), wait_ms, asked)
            .await
            .ok_or(AttemptFault::Silent)??;
        if !head.is_success() {
            return failure(connection, head).await;
        }
        self.relay(place, connection, head, first_event_by).await
    }

    fn request(&self, place: &PromptPlacement, reservations: &Reservations<'_>) -> Vec<u8> {
        let helpers = reservations.entries(&place.helpers);
        let resumed = self.splitter.last_id();
        self.context.for_target(&TargetHead {
            left_ms: self.context.due.since(self.state.now()),
            target: place.engine.name(),
            account: self.context.account.as_deref(),
            last_event_id: resumed.or(self.context.caller.last_event_id),
            helpers: &helpers,
            rank: None,
        })
    }

    /// Time for which the first event is awaited, in ms. A prompt that nobody else may take is
    /// awaited for as long as its caller stays: silence alone is no failure.
    fn first_event_wait_ms(&self, place: &PromptPlacement) -> u64 {
        if !self.has_another_attempt() {
            return self.context.due.since(self.state.now());
        }
        let patience_ms = self.context.route.patience_ms;
        (3 * place.first_event_ms as u64 + FIRST_EVENT_GRACE_MS)
            .max(patience_ms * PATIENCE_USED / 10)
    }

    /// Whether a further engine may take the prompt if this attempt comes to nothing.
    pub(super) fn has_another_attempt(&self) -> bool {
        let route = &self.context.route;
        route.retry_policy.is_idempotent() && self.runs + 1 < route.max_attempts
    }

    fn log_sent(&self, place: &PromptPlacement) {
        let context = self.context;
        let passed_ms = self.state.now().since(context.arrived);
        self.state.log(&Decision::Sent {
            request: context.caller.request_id.clone(),
            route: context.route.name.clone(),
            version: context.version,
            target: place.engine.id.to_string(),
            helpers: place
                .helpers
                .iter()
                .map(|helper| helper.id.to_string())
                .collect(),
            expected_ms: place.first_event_ms as u64,
            slack_ms: context.route.objective_ms.cast_signed() - passed_ms.cast_signed(),
            pause_limit_ms: context.route.pause_limit_ms,
            fingerprint: context.fingerprint_text(),
            attempt: self.answer.note_sent(),
            weighed: Some(place.inputs),
        });
    }
}

async fn failure(
    mut connection: TargetConnection,
    head: ResponseHead,
) -> Result<StreamEnd, AttemptFault> {
    let body = connection.whole_body(&head).await?;
    Ok(StreamEnd::Failure(head, body))
}
