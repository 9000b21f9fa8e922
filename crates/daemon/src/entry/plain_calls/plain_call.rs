use {
    super::{
        super::{
            answer_limits::max_answer_bytes,
            answers::{CallerAnswer, NOT_RUN_STATUSES},
            attempt::{
                AttemptFault, SentAttempt, record_answer, record_broken_attempt,
                request_connection, send_request,
            },
            decision_line::Decision,
            entry_state::EntryState,
            event_splitter::{check_resumed, ends_inside_event},
            http::ResponseHead,
            permits::is_permitted,
            request_context::RequestContext,
            target_connection::{TargetConnection, TargetFault},
        },
        call_guard::CallGuard,
        possible_runs::PossibleRuns,
    },
    whinlatch_platform::TargetHead,
    whinlatch_serving::{CallRequest, Refusal, names::TargetId},
};

/// A target's answer, received completely.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// Status line and headers.
    pub head: ResponseHead,
    /// The complete body.
    pub body: Vec<u8>,
}

impl CompleteAnswer {
    /// Returns whether the answer can be passed on as it is and no other target's would be better.
    pub fn is_success(&self) -> bool {
        self.head.status < 500 && !NOT_RUN_STATUSES.contains(&self.head.status)
    }
}

/// A call that is ready to be sent to a target on a connection.
#[derive(Debug)]
pub struct PreparedCall {
    connection: TargetConnection,
    bytes: Vec<u8>,
}

/// A call of a plain service while it is served.
#[derive(Debug)]
pub struct PlainCall<'a> {
    /// State of the instance.
    pub state: &'a EntryState,
    /// The caller's request with its route.
    pub context: &'a RequestContext,
    /// The answer to the caller.
    pub answer: &'a CallerAnswer<'a>,
    /// Its attempts that may have run.
    pub runs: PossibleRuns<'a>,
}

impl<'a> PlainCall<'a> {
    /// Returns a call that wasn't sent yet.
    pub fn new(
        state: &'a EntryState,
        context: &'a RequestContext,
        answer: &'a CallerAnswer<'a>,
    ) -> Self {
        Self {
            state,
            context,
            answer,
            runs: PossibleRuns::new(answer, context.runs_before()),
        }
    }

    /// Returns the request for a target other than those in `tried`.
    pub fn request<'t>(&'t self, tried: &'t [TargetId]) -> CallRequest<'t> {
        CallRequest {
            service: &self.context.service,
            fingerprint: self.context.fingerprint,
            parts: &self.context.caller.shared_parts,
            tried,
            is_repeat: self.answer.progress().sends > 0,
        }
    }

    /// Chooses a target that permits the call, and counts the call towards its load.
    ///
    /// # Errors
    /// A [`Refusal`]; the call has not been sent.
    pub async fn place(&self, tried: &[TargetId]) -> Result<CallGuard<'a>, Refusal> {
        let mut request = self.request(tried);
        loop {
            let now = self.state.now();
            let target = self.state.serving().place_call(now, &request)?.target;
            let guard = CallGuard::new(self.state, target);
            if is_permitted(self.state, &guard.target().id).await {
                return Ok(guard);
            }
            // The retry budget has already been charged for this retry.
            request.is_repeat = false;
        }
    }

    /// Opens a connection to the target of an attempt, and records the call as sent.
    ///
    /// # Errors
    /// [`AttemptFault`]; nothing was sent.
    pub async fn prepare(
        &self,
        guard: &CallGuard<'_>,
        is_hedge: bool,
    ) -> Result<PreparedCall, AttemptFault> {
        let (state, context) = (self.state, self.context);
        let target = guard.target();
        guard.begin();
        let connection = request_connection(state, target)
            .await
            .inspect_err(|_fault| guard.record_not_sent())?;
        let now = state.now();
        let bytes = context.for_target(&TargetHead {
            left_ms: context.deadline.since(now),
            target: target.name(),
            account: context.account.as_deref(),
            last_event_id: context.caller.last_event_id.as_deref(),
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
            attempt: self.answer.record_send(),
            hedge: is_hedge,
            inputs: None,
        });
        self.runs.add();
        Ok(PreparedCall { connection, bytes })
    }

    /// Sends a prepared call and receives the complete answer.
    ///
    /// # Errors
    /// [`AttemptFault`].
    pub async fn exchange(
        &self,
        guard: &CallGuard<'_>,
        prepared: PreparedCall,
    ) -> Result<CompleteAnswer, AttemptFault> {
        let sent = SentAttempt {
            was_reused: prepared.connection.is_reused,
            at: self.state.now(),
        };
        let received = self.send_and_receive(guard, prepared).await;
        let is_served = received
            .as_ref()
            .is_ok_and(|received| received.head.status < 500);
        guard.record_ended(!is_served);
        let (state, context, target) = (self.state, self.context, guard.target());
        match &received {
            Ok(answer) => record_answer(state, context, target, &answer.head, sent),
            Err(fault) => {
                if !fault.may_have_run() {
                    self.runs.remove();
                }
                record_broken_attempt(state, context, target, fault, sent, 0);
            }
        }
        received
    }

    /// Returns whether the call may be sent to another target if an attempt that was sent fails.
    fn has_another_attempt(&self) -> bool {
        let route = &self.context.route;
        route.retry_policy.is_idempotent() && self.runs.count() < route.max_attempts
    }

    async fn send_and_receive(
        &self,
        guard: &CallGuard<'_>,
        prepared: PreparedCall,
    ) -> Result<CompleteAnswer, AttemptFault> {
        let target = guard.target();
        let PreparedCall {
            mut connection,
            bytes,
        } = prepared;
        let may_repeat = self.has_another_attempt();
        let (state, context) = (self.state, self.context);
        let sent = send_request(state, target, &mut connection, context, &bytes, may_repeat);
        let head = sent.await?;
        self.answer.record_framing(head.framing);
        let body = connection
            .complete_body(&head, max_answer_bytes(&head))
            .await?;
        self.check_answer(&head, &body)?;
        if head.keeps_alive {
            let now = self.state.now();
            let pool = &self.state.pool;
            pool.put(now, target.address, connection, head.keep_alive_ms);
        }
        Ok(CompleteAnswer { head, body })
    }

    /// Checks that an answer whose body is complete by its framing wasn't broken off, and that a stream goes on where
    /// its caller resumes it.
    ///
    /// # Errors
    /// [`TargetFault`].
    pub fn check_answer(&self, head: &ResponseHead, body: &[u8]) -> Result<(), TargetFault> {
        let is_event_stream = head.is_event_stream();
        if is_event_stream == Some(true) && ends_inside_event(body) {
            return Err(TargetFault::InsideEvent);
        }
        if is_event_stream != Some(false) && head.is_success() {
            check_resumed(body, self.context.resumes_after)?;
        }
        if head.ends_without_sign(body.is_empty()) {
            return Err(TargetFault::Closed);
        }
        Ok(())
    }
}
