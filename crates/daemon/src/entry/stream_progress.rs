use {
    super::{
        answers::CallerAnswer, request_context::RequestContext, stream_relay::MAX_EVENT_PAUSE_MS,
    },
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        PromptRequest,
        names::{AccountId, TargetId},
    },
};

/// Assumed length of an answer if the caller gives no estimate, in tokens.
const ASSUMED_ANSWER_TOKENS: u32 = 600;

/// A prompt and how much of its stream has arrived, from which its placement is requested.
#[derive(Debug, Clone, Copy)]
pub struct StreamProgress<'a> {
    /// The prompt's request.
    pub context: &'a RequestContext,
    /// The answer to it.
    pub answer: &'a CallerAnswer<'a>,
    /// When the first event of the stream arrived, over all attempts; `None` before.
    pub first_event_at: Option<MonoMs>,
    /// When the latest event arrived; the start of the relay before the first one.
    pub last_event_at: MonoMs,
}

impl StreamProgress<'_> {
    /// Describes the prompt for a placement now at engines that aren't excluded; `None` if the caller's headers don't
    /// describe it.
    pub fn prompt_request(&self, now: MonoMs, excluded: Vec<TargetId>) -> Option<PromptRequest> {
        let Self {
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
            excluded,
            is_resumed: answer.has_begun() || self.is_resumed_for_peer(),
            is_repeat: answer.progress().sends > 0,
        })
    }

    /// Returns whether a peer has forwarded the request whose caller has a part of the stream already.
    fn is_resumed_for_peer(&self) -> bool {
        let note = self.context.forwarded.as_ref();
        note.is_some_and(|note| note.is_resumed)
    }
}
