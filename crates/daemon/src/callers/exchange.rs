use {
    super::{
        answer::Answer,
        forward::Forward,
        stream_answer::{CallerGone, ChunkSender, stream_answer},
        submission::{ParsedRequest, SecretHeader},
    },
    crate::{
        control::Instruction,
        shared::Shared,
        targets::{Attempt, AttemptWork, Step},
    },
    async_channel::{Receiver, Sender},
    futures::{
        FutureExt,
        future::{self, BoxFuture},
        pin_mut, select_biased,
    },
    http_types::Response,
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{AttemptEvent, Dispatch, ForwardEnd, MonoMs, Submission},
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{AttemptId, Ticket},
        target::{ServiceAnswer, StreamChunk},
    },
};

/// The operation that an exchange has in flight.
enum InFlight {
    Nothing,
    Attempt(Attempt),
    Forward(BoxFuture<'static, Option<Response>>),
}

/// The task of one request, from its submission to the end of its answer. It executes the control
/// thread's instructions and reports their results to it.
pub struct Exchange {
    shared: Arc<Shared>,
    submission: Submission,
    work: Arc<AttemptWork>,
    key: SecretHeader,
    accepted: MonoMs,
    in_flight: InFlight,
    /// Ticket under which a complete answer is stored for repeated calls.
    keep_answer: Option<Ticket>,
    /// Chunks passed to the caller so far.
    chunks_passed: u64,
    /// Whether a target's complete answer has arrived.
    is_complete: bool,
    stream: Option<ChunkSender>,
    answer: Option<Arc<ServiceAnswer>>,
    /// Closed when the caller disconnects before its answer begins.
    caller: Sender<Answer>,
}

/// An event that the exchange handles.
enum ExchangeEvent {
    Instruction(Box<Instruction>),
    /// `None` if the attempt ended without a last step.
    Step(Option<Step>),
    /// `None` if the home of the ticket didn't answer.
    Forwarded(Option<Box<Response>>),
    CallerGone,
    /// The control thread closed the channel of instructions.
    ControlStopped,
}

/// Submits a request and returns the channel on which its answer arrives. Dropping the receiver
/// signals to the exchange that the caller disconnected.
pub fn begin(shared: Arc<Shared>, request: ParsedRequest) -> Receiver<Answer> {
    let (caller, answer) = async_channel::bounded(1);
    let accepted = shared.clock.now();
    let exchange = Exchange {
        shared,
        submission: request.submission,
        work: Arc::new(request.work),
        key: request.key,
        accepted,
        in_flight: InFlight::Nothing,
        keep_answer: None,
        chunks_passed: 0,
        is_complete: false,
        stream: None,
        answer: None,
        caller,
    };
    async_std::task::spawn(exchange.run());
    answer
}

impl InFlight {
    async fn next(&mut self) -> ExchangeEvent {
        match self {
            Self::Nothing => future::pending().await,
            Self::Attempt(attempt) => ExchangeEvent::Step(attempt.next().await),
            Self::Forward(answer) => ExchangeEvent::Forwarded(answer.await.map(Box::new)),
        }
    }

    fn is_attempt(&self, id: AttemptId) -> bool {
        matches!(self, Self::Attempt(attempt) if attempt.id() == id)
    }
}

impl Exchange {
    async fn run(mut self) {
        let submission = self.submission.clone();
        let instructions = self.shared.control.submit(submission).await;
        loop {
            let event = self.next(&instructions).await;
            let is_over = match event {
                ExchangeEvent::Instruction(instruction) => self.execute(*instruction).await,
                ExchangeEvent::Step(step) => self.on_step(step).await,
                ExchangeEvent::Forwarded(answer) => self.end_forward(answer).await,
                ExchangeEvent::CallerGone => Err(CallerGone),
                ExchangeEvent::ControlStopped => {
                    self.finish(self.control_stopped()).await.map(|()| true)
                }
            };
            match is_over {
                Ok(false) => {}
                Ok(true) => return,
                Err(CallerGone) => {
                    let request = self.submission.request;
                    return self.shared.control.report_caller_gone(request).await;
                }
            }
        }
    }

    async fn next(&mut self, instructions: &Receiver<Box<Instruction>>) -> ExchangeEvent {
        let gone = match &self.stream {
            Some(stream) => stream.closed().left_future(),
            None => self.caller.closed().right_future(),
        };
        let step = self.in_flight.next();
        let (instruction, gone, step) = (instructions.recv().fuse(), gone.fuse(), step.fuse());
        pin_mut!(instruction, gone, step);
        select_biased! {
            received = instruction => {
                received.map_or(ExchangeEvent::ControlStopped, ExchangeEvent::Instruction)
            }
            () = gone => ExchangeEvent::CallerGone,
            event = step => event,
        }
    }

    /// Executes an instruction. Returns whether the exchange is over.
    async fn execute(&mut self, instruction: Instruction) -> Result<bool, CallerGone> {
        match instruction {
            // A silent target that another one replaces may still have completed the answer.
            Instruction::Dispatch(dispatch) if self.is_complete => {
                self.report(dispatch.attempt, AttemptEvent::Completed).await;
            }
            Instruction::Dispatch(dispatch) => self.dispatch(*dispatch),
            Instruction::Abandon(attempt) => {
                if self.in_flight.is_attempt(attempt) {
                    self.in_flight = InFlight::Nothing;
                }
            }
            Instruction::Forward { to } => self.forward(to),
            Instruction::Replay { ticket, outcome } => {
                self.replay(ticket, outcome).await?;
                return Ok(true);
            }
            Instruction::Finish(outcome) => {
                self.finish(outcome).await?;
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.keep_answer = dispatch.keep_answer;
        self.in_flight = InFlight::Attempt(Attempt::start(
            Arc::clone(&self.shared),
            Arc::new(dispatch),
            Arc::clone(&self.work),
            self.chunks_passed,
        ));
    }

    /// Handles a step of the attempt in flight. Returns whether the exchange is over.
    async fn on_step(&mut self, step: Option<Step>) -> Result<bool, CallerGone> {
        let InFlight::Attempt(in_flight) = &self.in_flight else {
            return Ok(false);
        };
        let attempt = in_flight.id();
        match step {
            Some(Step::Chunk(chunk)) => {
                let is_first = self.chunks_passed == 0;
                self.pass_chunk(&chunk).await?;
                if is_first {
                    self.report(attempt, AttemptEvent::FirstChunk).await;
                }
                if chunk.end {
                    self.is_complete = true;
                    self.end_attempt(attempt, AttemptEvent::Completed).await;
                }
            }
            Some(Step::Answer(answer)) => {
                self.store_answer(answer);
                self.end_attempt(attempt, AttemptEvent::Completed).await;
            }
            Some(Step::Silent) => self.report(attempt, AttemptEvent::Silent).await,
            Some(Step::Ended(event)) => self.end_attempt(attempt, event).await,
            None => {
                let chunks = self.chunks_passed;
                self.end_attempt(attempt, AttemptEvent::Broken { chunks })
                    .await;
            }
        }
        Ok(false)
    }

    async fn pass_chunk(&mut self, chunk: &StreamChunk) -> Result<(), CallerGone> {
        if self.stream.is_none() {
            let ms = self.shared.clock.now().since(self.accepted);
            self.shared.metrics.record_first_token(ms);
            self.begin_stream()?;
        }
        if let Some(stream) = &self.stream {
            stream.send_chunk(chunk).await?;
        }
        self.chunks_passed = chunk.sequence + 1;
        Ok(())
    }

    fn begin_stream(&mut self) -> Result<(), CallerGone> {
        let AttemptWork::Prompt { completion, .. } = self.work.as_ref() else {
            return Ok(());
        };
        let request = self.submission.request;
        let (stream, events) = stream_answer(request, completion.model.clone());
        self.stream = Some(stream);
        self.answer_with(Answer::Stream { request, events })
    }

    /// Stores a complete answer before its completion is reported, so that a replay finds it.
    fn store_answer(&mut self, answer: ServiceAnswer) {
        let answer = Arc::new(answer);
        if let Some(ticket) = self.keep_answer {
            self.shared.answers.insert(ticket, Arc::clone(&answer));
        }
        self.answer = Some(answer);
        self.is_complete = true;
    }

    async fn end_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.in_flight = InFlight::Nothing;
        self.report(attempt, event).await;
    }

    async fn report(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.shared.control.report_attempt(attempt, event).await;
    }

    async fn finish(&mut self, outcome: Outcome) -> Result<(), CallerGone> {
        self.in_flight = InFlight::Nothing;
        self.record_outcome(&outcome);
        if let Some(stream) = self.stream.take() {
            return stream.end(&outcome).await;
        }
        match self.answer.take() {
            Some(answer) if outcome.outcome == OutcomeKind::Completed => {
                self.answer_with(Answer::Service {
                    answer,
                    outcome: Box::new(outcome),
                })
            }
            _ => self.answer_with(Answer::ended(outcome)),
        }
    }

    fn forward(&mut self, to: SocketAddr) {
        let elapsed_ms = self.shared.clock.now().since(self.accepted);
        let forward = Forward {
            submission: &self.submission,
            work: &self.work,
            key: &self.key,
            remaining_ms: self.submission.deadline_ms.saturating_sub(elapsed_ms),
            to,
        };
        let answer = forward.begin(Arc::clone(&self.shared));
        self.in_flight = InFlight::Forward(answer.boxed());
    }

    /// Passes the home's answer to the caller; if there is none, the core decides the outcome.
    async fn end_forward(&mut self, answer: Option<Box<Response>>) -> Result<bool, CallerGone> {
        self.in_flight = InFlight::Nothing;
        let end = match answer {
            Some(_) => ForwardEnd::Answered,
            None => ForwardEnd::Lost,
        };
        let request = self.submission.request;
        self.shared.control.report_forward_end(request, end).await;
        let Some(answer) = answer else {
            return Ok(false);
        };
        let ms = self.shared.clock.now().since(self.accepted);
        self.shared.metrics.record_forwarded(&answer, ms);
        self.answer_with(Answer::Forwarded(answer))?;
        Ok(true)
    }

    async fn replay(&mut self, ticket: Ticket, outcome: Outcome) -> Result<(), CallerGone> {
        let completed = outcome.outcome == OutcomeKind::Completed;
        let stored = self.shared.answers.get(ticket).filter(|_| completed);
        match stored {
            Some(answer) => {
                self.record_outcome(&outcome);
                self.answer_with(Answer::Service {
                    answer,
                    outcome: Box::new(outcome),
                })
            }
            None if completed => self.finish(answer_evicted(&outcome)).await,
            None => self.finish(outcome).await,
        }
    }

    /// Sends the answer. The channel has room for one, and each exchange answers once.
    fn answer_with(&self, answer: Answer) -> Result<(), CallerGone> {
        self.caller.try_send(answer).map_err(|_closed| CallerGone)
    }

    fn record_outcome(&self, outcome: &Outcome) {
        let ms = self.shared.clock.now().since(self.accepted);
        self.shared.metrics.record_request(outcome, ms);
    }

    fn control_stopped(&self) -> Outcome {
        Outcome {
            request: self.submission.request,
            outcome: OutcomeKind::Unknown,
            reason: Reason::Leaving,
            message: "this daemon stopped before the request ended: it may have run, use another \
                      entry"
                .to_owned(),
            retry_after_ms: None,
            ticket: self.submission.ticket,
        }
    }
}

/// The outcome of a run that completed but whose answer was evicted from the store.
fn answer_evicted(outcome: &Outcome) -> Outcome {
    Outcome {
        outcome: OutcomeKind::Unknown,
        reason: Reason::TicketLost,
        message: "the request ran once and completed, but its answer is no longer kept: don't \
                  send it again"
            .to_owned(),
        ..outcome.clone()
    }
}
