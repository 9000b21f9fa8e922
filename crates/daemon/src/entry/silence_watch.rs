use {
    super::{
        decision_line::Decision,
        engine_life::EngineLife,
        entry_state::EntryState,
        job_guard::JobGuard,
        placing::place_prompt,
        silence::{Silence, SilenceKind},
        stream_progress::StreamProgress,
    },
    futures::{
        future::{Either, pending, select},
        pin_mut,
    },
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        PromptPlacement, PromptRequest, Refusal, names::TargetId, targets::TargetEntry,
    },
};

/// Time between two checks whether an engine is silent, in ms.
const CHECK_INTERVAL_MS: u64 = 250;
/// Silence of an engine after which its reachability counts, in ms. Longer than the longest pass
/// with which short streams are on time.
const UNREACHABLE_SILENCE_MS: u64 = 700;
/// Time between two searches for an engine that takes the prompt of a silent one, in ms: load and retry budget change
/// little in less.
const SEARCH_INTERVAL_MS: u64 = 500;

/// Engines that were chosen for a prompt, which counts towards their load.
pub type PlacedPrompt<'a> = (PromptPlacement, JobGuard<'a>);

/// A prompt that is to leave its silent engine.
#[derive(Debug)]
pub struct Replacement<'a> {
    /// Silence of the engine.
    pub silence: Silence,
    /// The engines that take the prompt instead; `None` if it goes to a peer.
    pub placed: Option<PlacedPrompt<'a>>,
}

/// Waits for an answer of an engine, and looks for another engine while it is silent.
///
/// Silence alone ends no attempt: a silent engine may go on, while a caller whose stream is given up without a
/// replacement has lost its answer for certain.
#[derive(Debug)]
pub struct SilenceWatch<'a, 'p> {
    /// The instance.
    pub state: &'a Arc<EntryState>,
    /// The prompt and its stream.
    pub progress: StreamProgress<'a>,
    /// The engine that is to answer.
    pub engine: &'p TargetEntry,
    /// Signs of life of the engine.
    pub life: &'p EngineLife<'p>,
    /// Engines to which the prompt was sent before.
    pub tried: &'p [TargetId],
    /// Time by which the engine is expected to send more, and what it would be late with.
    pub due: (MonoMs, SilenceKind),
    /// Whether another attempt is allowed.
    pub may_move: bool,
}

impl<'a> SilenceWatch<'a, '_> {
    /// Waits for an answer.
    ///
    /// # Errors
    /// [`Replacement`]: the engine is silent, and the prompt can go on elsewhere.
    pub async fn unless_replaced<T>(
        &self,
        answer: impl Future<Output = T>,
    ) -> Result<T, Replacement<'a>> {
        let replaced = self.replacement();
        pin_mut!(answer, replaced);
        match select(answer, replaced).await {
            Either::Left((answer, _)) => Ok(answer),
            Either::Right((replacement, _)) => Err(replacement),
        }
    }

    /// Completes once the engine is silent and another one has been chosen, or a peer may go on.
    async fn replacement(&self) -> Replacement<'a> {
        if !self.may_move {
            return pending().await;
        }
        loop {
            let now = self.state.now();
            let Some(silence) = self.silence(now) else {
                self.state.clock.sleep(self.next_check_ms(now)).await;
                continue;
            };
            if silence.kind == SilenceKind::OutOfReach {
                let placed = None;
                return Replacement { silence, placed };
            }
            match self.place(now).await {
                Ok(placed) => {
                    let placed = Some(placed);
                    return Replacement { silence, placed };
                }
                Err(refusal) => self.log_refusal(silence, refusal),
            }
            self.state.clock.sleep(SEARCH_INTERVAL_MS).await;
        }
    }

    /// Returns how the engine is silent now; `None` if it isn't.
    fn silence(&self, now: MonoMs) -> Option<Silence> {
        let silent_ms = self.life.silent_ms(now);
        let kind = self.silence_kind(now, silent_ms)?;
        Some(Silence { kind, silent_ms })
    }

    fn silence_kind(&self, now: MonoMs, silent_ms: u64) -> Option<SilenceKind> {
        let (due_at, late) = self.due;
        let serving = self.state.serving();
        if serving.is_out_of_reach(&self.engine.service) {
            let is_forwarded = self.progress.context.forwarded.is_some();
            let may_leave =
                !is_forwarded && serving.should_leave_service(now, &self.engine.service);
            return may_leave.then_some(SilenceKind::OutOfReach);
        }
        if self.life.leaves_reports_unanswered() {
            return Some(SilenceKind::Reports);
        }
        if silent_ms >= UNREACHABLE_SILENCE_MS && serving.should_move_stream(now, self.engine) {
            return Some(SilenceKind::Unreachable);
        }
        (now >= due_at).then_some(late)
    }

    /// Time until the next check, in ms.
    fn next_check_ms(&self, now: MonoMs) -> u64 {
        let (due_at, _) = self.due;
        due_at.since(now).clamp(1, CHECK_INTERVAL_MS)
    }

    async fn place(&self, now: MonoMs) -> Result<PlacedPrompt<'a>, Refusal> {
        let request = self.prompt_request(now).ok_or(Refusal::NoTarget)?;
        let left_ms = self.progress.context.deadline.since(now);
        let (placement, guard) = place_prompt(self.state, request).await?;
        if placement.first_event_ms > left_ms as f64 {
            // Only the silent engine can still answer in time.
            let service = &self.progress.context.service;
            self.state.serving().return_retry(now, service);
            return Err(Refusal::NoTarget);
        }
        Ok((placement, guard))
    }

    fn prompt_request(&self, now: MonoMs) -> Option<PromptRequest> {
        let mut excluded = self.tried.to_vec();
        excluded.push(self.engine.id.clone());
        self.progress.prompt_request(now, excluded)
    }

    /// Logs the first refusal of an attempt.
    fn log_refusal(&self, silence: Silence, refusal: Refusal) {
        if self.life.is_first_refusal() {
            let context = self.progress.context;
            self.state.log(&Decision::NotMoved {
                request: context.caller.request_id.clone(),
                target: self.engine.id.to_string(),
                silence: silence.kind.name(),
                silent_ms: silence.silent_ms,
                reason: refusal.message(),
            });
        }
    }
}
