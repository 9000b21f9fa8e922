use {
    super::{
        answer::Answer,
        forward::Forward,
        stream_answer::{CallerGone, ChunkSender, stream_answer},
        submission::{Read, SecretHeader},
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

/// What an exchange waits for besides instructions.
enum Running {
    Nothing,
    Attempt(Attempt),
    Forward(BoxFuture<'static, Option<Response>>),
}

/// One caller's request from its submission to its last byte. It carries out what the control
/// thread decides about the request and reports what comes of it.
pub struct Exchange {
    shared: Arc<Shared>,
    submission: Submission,
    work: Arc<AttemptWork>,
    key: SecretHeader,
    accepted: MonoMs,
    running: Running,
    keep_answer: Option<Ticket>,
    passed: u64,
    stream: Option<ChunkSender>,
    answer: Option<Arc<ServiceAnswer>>,
    caller: Sender<Answer>,
}

/// Something for the exchange to do.
enum Happened {
    Instructed(Box<Instruction>),
    Stepped(Option<Step>),
    Forwarded(Option<Box<Response>>),
    CallerGone,
    ControlGone,
}

/// Submits a request. The answer comes from the receiver; dropped, it tells that the caller went
/// away.
pub fn begin(shared: Arc<Shared>, read: Read) -> Receiver<Answer> {
    let (caller, answer) = async_channel::bounded(1);
    let accepted = shared.clock.now();
    let exchange = Exchange {
        shared,
        submission: read.submission,
        work: Arc::new(read.work),
        key: read.key,
        accepted,
        running: Running::Nothing,
        keep_answer: None,
        passed: 0,
        stream: None,
        answer: None,
        caller,
    };
    async_std::task::spawn(exchange.run());
    answer
}

impl Running {
    async fn next(&mut self) -> Happened {
        match self {
            Self::Nothing => future::pending().await,
            Self::Attempt(attempt) => Happened::Stepped(attempt.next().await),
            Self::Forward(answer) => Happened::Forwarded(answer.await.map(Box::new)),
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
            let happened = self.next(&instructions).await;
            let over = match happened {
                Happened::Instructed(instruction) => self.carry_out(*instruction).await,
                Happened::Stepped(step) => self.take(step).await,
                Happened::Forwarded(answer) => self.end_forward(answer).await,
                Happened::CallerGone => Err(CallerGone),
                Happened::ControlGone => self.finish(self.control_gone()).await.map(|()| true),
            };
            match over {
                Ok(false) => {}
                Ok(true) => return,
                Err(CallerGone) => {
                    let request = self.submission.request;
                    return self.shared.control.caller_gone(request).await;
                }
            }
        }
    }

    async fn next(&mut self, instructions: &Receiver<Box<Instruction>>) -> Happened {
        let gone = match &self.stream {
            Some(stream) => stream.gone().left_future(),
            None => self.caller.closed().right_future(),
        };
        let step = self.running.next();
        let (instructed, gone, step) = (instructions.recv().fuse(), gone.fuse(), step.fuse());
        pin_mut!(instructed, gone, step);
        select_biased! {
            instruction = instructed => {
                instruction.map_or(Happened::ControlGone, Happened::Instructed)
            }
            () = gone => Happened::CallerGone,
            happened = step => happened,
        }
    }

    /// Returns whether the exchange is over.
    async fn carry_out(&mut self, instruction: Instruction) -> Result<bool, CallerGone> {
        match instruction {
            Instruction::Dispatch(dispatch) => self.dispatch(*dispatch),
            Instruction::Abandon(attempt) => {
                if self.running.is_attempt(attempt) {
                    self.running = Running::Nothing;
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
        self.running = Running::Attempt(Attempt::begin(
            Arc::clone(&self.shared),
            Arc::new(dispatch),
            Arc::clone(&self.work),
            self.passed,
        ));
    }

    async fn take(&mut self, step: Option<Step>) -> Result<bool, CallerGone> {
        let Running::Attempt(running) = &self.running else {
            return Ok(false);
        };
        let attempt = running.id();
        match step {
            Some(Step::Chunk(chunk)) => {
                let first = self.passed == 0;
                self.pass(&chunk).await?;
                if first {
                    self.report(attempt, AttemptEvent::FirstChunk).await;
                }
                if chunk.end {
                    self.end_attempt(attempt, AttemptEvent::Completed).await;
                }
            }
            Some(Step::Answer(answer)) => {
                self.hold(answer);
                self.end_attempt(attempt, AttemptEvent::Completed).await;
            }
            Some(Step::Ended(event)) => self.end_attempt(attempt, event).await,
            None => {
                let chunks = self.passed;
                self.end_attempt(attempt, AttemptEvent::Broken { chunks })
                    .await;
            }
        }
        Ok(false)
    }

    async fn pass(&mut self, chunk: &StreamChunk) -> Result<(), CallerGone> {
        if self.stream.is_none() {
            let ms = self.shared.clock.now().since(self.accepted);
            self.shared.metrics.note_first_token(ms);
            self.begin_stream()?;
        }
        if let Some(stream) = &self.stream {
            stream.pass(chunk).await?;
        }
        self.passed = chunk.sequence + 1;
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

    /// Keeps a whole answer before its completion is reported, so that a replay finds it.
    fn hold(&mut self, answer: ServiceAnswer) {
        let answer = Arc::new(answer);
        if let Some(ticket) = self.keep_answer {
            self.shared.answers.keep(ticket, Arc::clone(&answer));
        }
        self.answer = Some(answer);
    }

    async fn end_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.running = Running::Nothing;
        self.report(attempt, event).await;
    }

    async fn report(&mut self, attempt: AttemptId, event: AttemptEvent) {
        self.shared.control.attempt(attempt, event).await;
    }

    async fn finish(&mut self, outcome: Outcome) -> Result<(), CallerGone> {
        self.running = Running::Nothing;
        self.note(&outcome);
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
        let spent_ms = self.shared.clock.now().since(self.accepted);
        let forward = Forward {
            submission: &self.submission,
            work: &self.work,
            key: &self.key,
            left_ms: self.submission.deadline_ms.saturating_sub(spent_ms),
            to,
        };
        let answer = forward.begin(Arc::clone(&self.shared));
        self.running = Running::Forward(answer.boxed());
    }

    /// The home's answer goes to the caller; without one the core has the last word.
    async fn end_forward(&mut self, answer: Option<Box<Response>>) -> Result<bool, CallerGone> {
        self.running = Running::Nothing;
        let end = match answer {
            Some(_) => ForwardEnd::Answered,
            None => ForwardEnd::Lost,
        };
        let request = self.submission.request;
        self.shared.control.forward_ended(request, end).await;
        let Some(answer) = answer else {
            return Ok(false);
        };
        let ms = self.shared.clock.now().since(self.accepted);
        self.shared.metrics.note_passed(&answer, ms);
        self.answer_with(Answer::Passed(answer))?;
        Ok(true)
    }

    async fn replay(&mut self, ticket: Ticket, outcome: Outcome) -> Result<(), CallerGone> {
        let completed = outcome.outcome == OutcomeKind::Completed;
        let kept = self.shared.answers.get(ticket).filter(|_| completed);
        match kept {
            Some(answer) => {
                self.note(&outcome);
                self.answer_with(Answer::Service {
                    answer,
                    outcome: Box::new(outcome),
                })
            }
            None if completed => self.finish(answer_forgotten(&outcome)).await,
            None => self.finish(outcome).await,
        }
    }

    /// The one place of the channel is free: each exchange answers once.
    fn answer_with(&self, answer: Answer) -> Result<(), CallerGone> {
        self.caller.try_send(answer).map_err(|_closed| CallerGone)
    }

    fn note(&self, outcome: &Outcome) {
        let ms = self.shared.clock.now().since(self.accepted);
        self.shared.metrics.note_request(outcome, ms);
    }

    fn control_gone(&self) -> Outcome {
        Outcome {
            request: self.submission.request,
            outcome: OutcomeKind::Unknown,
            reason: Reason::Leaving,
            message: "this daemon ended before the request did: it may have run, use another \
                      entry"
                .to_owned(),
            retry_after_ms: None,
            ticket: self.submission.ticket,
        }
    }
}

/// The run is over and completed, but its answer went to make room for others.
fn answer_forgotten(outcome: &Outcome) -> Outcome {
    Outcome {
        outcome: OutcomeKind::Unknown,
        reason: Reason::TicketLost,
        message: "the request ran once and completed, but its answer is no longer kept: don't \
                  send it anew"
            .to_owned(),
        ..outcome.clone()
    }
}
