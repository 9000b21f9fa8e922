//! Prompts: events are passed on as they come, and another engine resumes a stream that breaks.

use {
    super::{
        answers::{CallerAnswer, PROMISES},
        answers_whole::note_failed,
        attempt::{AttemptFault, ask, connection, note_crash},
        decision_line::Decision,
        entry_state::EntryState,
        event_splitter::EventSplitter,
        exchange::Ended,
        http::{BodyDecoder, Progress, ResponseHead},
        job_guard::JobGuard,
        placing::place,
        request_context::RequestContext,
        reservations::Reservations,
        target_connection::TargetConnection,
    },
    crate::clock::timeout,
    futures::{
        future::{Either, pending, select},
        pin_mut,
    },
    std::{io, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetHead,
    whinlatch_serving::{PromptAsk, PromptPlace, Refusal, names::TargetId, targets::TargetEntry},
};

/// Engines that are asked for a connection before a prompt is given up.
const MOST_TARGETS: usize = 4;
/// Time beyond three times the expected one after which a first event isn't waited for, in ms: an
/// engine notices a dead helper in 1,500 ms and says so itself.
const FIRST_EVENT_GRACE_MS: u64 = 1_800;
/// Pause between events after which an engine is given up, in ms: a pass that reads parts of several
/// long prompts takes up to three seconds, and is no failure.
const MOST_PAUSE_MS: u64 = 5_000;
/// Silence of an engine after which it counts whether it can be reached, in ms: over the longest
/// pass that is on time for short streams.
const UNREACHABLE_LOOK_MS: u64 = 700;
/// Tenths of a caller's patience for which a first event is awaited at least, so that another
/// engine can still give it in time.
const PATIENCE_USED: u64 = 6;
/// Tokens of an answer whose length nobody estimates.
const ASSUMED_ANSWER_TOKENS: u32 = 600;

/// How an attempt ended that wasn't in vain.
enum StreamEnd {
    /// All events were passed on.
    Whole,
    /// The engine answered with a failure of its own.
    Failure(ResponseHead, Vec<u8>),
    /// The caller is gone.
    CallerGone,
}

/// A stream on its way to the caller, over all attempts.
struct Relay<'a> {
    state: &'a Arc<EntryState>,
    context: &'a RequestContext,
    answer: &'a CallerAnswer<'a>,
    splitter: EventSplitter,
    first_event_at: Option<MonoMs>,
    last_event_at: MonoMs,
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
            let may_repeat = self.context.route.repeat.is_idempotent() || !fault.may_have_run();
            let is_over = self.runs >= self.context.route.max_attempts
                || self.answer.progress().sends > self.context.route.max_attempts
                || tried.len() >= MOST_TARGETS;
            if is_over || !may_repeat {
                return self.give_up(Refusal::NoAttempt).await;
            }
        }
    }

    async fn place(&self, tried: &[TargetId]) -> Result<(PromptPlace, JobGuard<'a>), Refusal> {
        let now = self.state.now();
        let context = self.context;
        let prompt = context.caller.prompt.ok_or(Refusal::NoTarget)?;
        let most = prompt.most_answer_tokens;
        let answer_tokens = prompt
            .answer_hint_tokens
            .unwrap_or(ASSUMED_ANSWER_TOKENS)
            .min(most.max(1));
        let pause_limit_ms = context.route.pause_limit_ms.unwrap_or(MOST_PAUSE_MS);
        let limit_ms = match self.first_event_at {
            Some(_) => pause_limit_ms,
            None => context.route.objective_ms,
        };
        let since = match self.first_event_at {
            Some(_) => self.last_event_at,
            None => context.arrived,
        };
        let ask = PromptAsk {
            service: context.service.clone(),
            fingerprint: context.fingerprint,
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens,
            most_answer_tokens: most,
            slack_ms: limit_ms.cast_signed() - now.since(since).cast_signed(),
            pause_limit_ms,
            patience_ms: (context.route.patience_ms.saturating_sub(now.since(since)))
                .min(context.due.since(now)),
            tried: tried.to_vec(),
            is_resumed: self.answer.has_begun(),
            is_repeat: self.answer.progress().sends > 0,
        };
        place(self.state, &ask).await
    }

    fn note_engine_failed(&self, place: &PromptPlace) {
        let now = self.state.now();
        self.state.serving().prompt_failed(now, place.job);
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

    async fn attempt(&mut self, place: &PromptPlace) -> Result<StreamEnd, AttemptFault> {
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
        place: &PromptPlace,
        mut connection: TargetConnection,
        request: &[u8],
    ) -> Result<StreamEnd, AttemptFault> {
        let wait_ms = self.first_event_wait_ms(place);
        let first_event_by = self.state.now() + wait_ms;
        let asked = ask(&mut connection, self.context, request);
        let head = timeout(self.state.clock.as_ref(), wait_ms, asked)
            .await
            .ok_or(AttemptFault::Silent)??;
        if !head.is_success() {
            return failure(connection, head).await;
        }
        self.relay(place, connection, head, first_event_by).await
    }

    fn request(&self, place: &PromptPlace, reservations: &Reservations<'_>) -> Vec<u8> {
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
    fn first_event_wait_ms(&self, place: &PromptPlace) -> u64 {
        if !self.has_another_attempt() {
            return self.context.due.since(self.state.now());
        }
        let patience_ms = self.context.route.patience_ms;
        (3 * place.first_event_ms as u64 + FIRST_EVENT_GRACE_MS)
            .max(patience_ms * PATIENCE_USED / 10)
    }

    /// Whether a further engine may take the prompt if this attempt comes to nothing.
    fn has_another_attempt(&self) -> bool {
        let route = &self.context.route;
        route.repeat.is_idempotent() && self.runs + 1 < route.max_attempts
    }

    fn log_sent(&self, place: &PromptPlace) {
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
            weighed: Some(place.weighed),
        });
    }

    async fn relay(
        &mut self,
        place: &PromptPlace,
        mut connection: TargetConnection,
        head: ResponseHead,
        first_event_by: MonoMs,
    ) -> Result<StreamEnd, AttemptFault> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut has_begun = false;
        loop {
            let wait_ms = if has_begun {
                self.next_event_wait_ms()
            } else {
                first_event_by.since(self.state.now())
            };
            let progress = self
                .receive(place, &mut connection, &mut decoder, wait_ms)
                .await?;
            let events = self.take_events(progress);
            if !events.is_empty() {
                self.note_event(place, !std::mem::replace(&mut has_begun, true));
                if self.deliver(&head, &events).await.is_err() {
                    return Ok(StreamEnd::CallerGone);
                }
            }
            if progress == Progress::Whole {
                if self.finish(&head).await.is_err() {
                    return Ok(StreamEnd::CallerGone);
                }
                self.keep(place, connection, &head);
                return Ok(StreamEnd::Whole);
            }
        }
    }

    /// Receives more of the stream, unless the engine is silent for too long or out of reach.
    async fn receive(
        &mut self,
        place: &PromptPlace,
        connection: &mut TargetConnection,
        decoder: &mut BodyDecoder,
        wait_ms: u64,
    ) -> Result<Progress, AttemptFault> {
        let may_move = self.has_another_attempt();
        let more = connection.body(decoder, self.splitter.buffer());
        let awaited = timeout(self.state.clock.as_ref(), wait_ms, more);
        let lost = until_to_move(self.state, &place.engine, may_move);
        pin_mut!(awaited, lost);
        match select(awaited, lost).await {
            Either::Left((progress, _)) => Ok(progress.ok_or(AttemptFault::Silent)??),
            Either::Right(((), _)) => Err(AttemptFault::Silent),
        }
    }

    /// Time for which a further event is awaited, in ms.
    fn next_event_wait_ms(&self) -> u64 {
        if self.has_another_attempt() {
            return MOST_PAUSE_MS;
        }
        self.context.due.since(self.state.now())
    }

    fn take_events(&mut self, progress: Progress) -> Vec<u8> {
        let mut events = self.splitter.take_whole().unwrap_or_default();
        if progress == Progress::Whole {
            events.extend(self.splitter.take_rest().unwrap_or_default());
        }
        events
    }

    fn keep(&self, place: &PromptPlace, connection: TargetConnection, head: &ResponseHead) {
        if head.is_kept {
            let now = self.state.now();
            let address = place.engine.address;
            self.state.pool.put(now, address, connection, head.keep_ms);
        }
    }

    /// Notes an event; `is_first` if it is the first one of this attempt.
    fn note_event(&mut self, place: &PromptPlace, is_first: bool) {
        let now = self.state.now();
        {
            let mut serving = self.state.serving();
            if is_first {
                serving.prompt_begun(now, place.job);
            }
            serving.event_seen(now, &place.engine);
        }
        if self.first_event_at.is_some() {
            self.answer.note_pause(now.since(self.last_event_at));
        } else {
            self.first_event_at = Some(now);
            let took_ms = now.since(self.context.arrived);
            self.state.metrics.note_first_event(took_ms);
            self.answer.note_first_event(took_ms);
        }
        self.last_event_at = now;
    }

    async fn deliver(&self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        if self.answer.has_begun() {
            self.answer.events(events).await
        } else {
            self.answer.begin(head, events).await
        }
    }

    async fn finish(&self, head: &ResponseHead) -> io::Result<()> {
        if !self.answer.has_begun() {
            self.answer.begin(head, &[]).await?;
        }
        self.answer.end().await
    }
}

/// Ends when nothing came from an engine for a while, some instance could not reach it, and another
/// one can take the stream.
///
/// Guards against an engine that has lost power: its open connections stay as they are, and a
/// caller waits for events until it gives up.
async fn until_to_move(state: &EntryState, engine: &TargetEntry, may_move: bool) {
    if !may_move {
        return pending().await;
    }
    loop {
        state.clock.sleep(UNREACHABLE_LOOK_MS).await;
        if state.serving().is_to_move(state.now(), engine) {
            return;
        }
    }
}

async fn failure(
    mut connection: TargetConnection,
    head: ResponseHead,
) -> Result<StreamEnd, AttemptFault> {
    let body = connection.whole_body(&head).await?;
    Ok(StreamEnd::Failure(head, body))
}
