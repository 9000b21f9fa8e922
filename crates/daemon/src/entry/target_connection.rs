use {
    super::{
        event_splitter::BegunAnew,
        http::{
            BodyDecoder, BodyFault, BodyProgress, Framing, HeadFault, Input, ResponseHead,
            find_head_end,
        },
    },
    crate::targets::GuardedStream,
    futures::{AsyncReadExt, AsyncWrite, FutureExt, future::poll_fn, ready},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    thiserror::Error,
};

/// Limit for the head of a target's answer with the interim ones before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Limit for the number of interim answers (1xx) before an answer.
const MAX_INTERIM_HEADS: usize = 16;

/// Reason why a target's answer couldn't be read.
#[derive(Debug, Error)]
pub enum TargetFault {
    /// The connection broke.
    #[error("the connection to the target broke: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the answer did.
    #[error("the target closed the connection before its answer was whole")]
    Closed,
    /// A connection that was used before ended before anything of the answer arrived. The target may have closed it while
    /// it was idle.
    #[error("a reused connection ended before the target began to answer: {0}")]
    Unanswered(io::Error),
    /// The head isn't that of an HTTP answer.
    #[error("the target's answer isn't HTTP: {0}")]
    Head(#[from] HeadFault),
    /// The body can't be decoded.
    #[error(transparent)]
    Body(#[from] BodyFault),
    /// A part of the answer is larger than any that a sound target sends.
    #[error("the target's answer exceeds the limit for {0}")]
    TooLarge(&'static str),
    /// The answer is a stream that stopped inside an event, whatever its framing says.
    #[error("the target's stream ended inside an event")]
    InsideEvent,
    /// The answer doesn't go on after the event that the request names.
    #[error(transparent)]
    BegunAnew(#[from] BegunAnew),
}

/// Result of a write to a target.
enum Sent {
    /// Number of bytes written.
    Bytes(usize),
    /// The target began to answer before it had read the whole request.
    Answered,
}

/// An HTTP connection to a target, which serves one request after the other.
#[derive(Debug)]
pub struct TargetConnection {
    stream: GuardedStream,
    input: Input,
    is_unusable: bool,
    /// Whether anything was received since the last request was sent.
    has_received: bool,
    /// Whether an earlier request was answered on it.
    pub is_reused: bool,
}

impl TargetConnection {
    /// Wraps a connection that has just been opened.
    pub fn new(stream: GuardedStream) -> Self {
        Self {
            stream,
            input: Input::default(),
            is_unusable: false,
            has_received: false,
            is_reused: false,
        }
    }

    /// Returns whether another request may be sent: the last one was sent completely, and nothing was
    /// received after its answer.
    pub fn is_reusable(&self) -> bool {
        !self.is_unusable && self.input.is_empty()
    }

    /// Returns whether the target has closed the idle connection or sent something on it.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        let mut stream = self.stream.inner();
        let read = stream.read(&mut byte).now_or_never();
        read.is_some()
    }

    /// Sends a request. If the target begins to answer before it has read all of it, the rest isn't sent
    /// and the connection isn't reused.
    ///
    /// # Errors
    /// [`TargetFault::Unanswered`], [`TargetFault::Closed`] or [`TargetFault::Io`].
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), TargetFault> {
        self.has_received = false;
        let mut left = bytes;
        while !left.is_empty() {
            let sent = poll_fn(|context| self.poll_send(context, left)).await;
            match sent.map_err(|fault| self.before_answer(fault))? {
                Sent::Bytes(count) => left = &left[count..],
                Sent::Answered => {
                    self.is_unusable = true;
                    self.has_received = true;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn poll_send(
        &mut self,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<Sent, TargetFault>> {
        let stream = self.stream.inner();
        if let Poll::Ready(count) = self.input.poll_fill(context, stream)? {
            let sent = if count == 0 {
                Err(TargetFault::Closed)
            } else {
                Ok(Sent::Answered)
            };
            return Poll::Ready(sent);
        }
        let mut writing = stream;
        let count = ready!(Pin::new(&mut writing).poll_write(context, bytes))?;
        Poll::Ready(Ok(Sent::Bytes(count)))
    }

    /// Receives the head of the answer, and skips interim ones such as 100. `method` is that of the request.
    ///
    /// # Errors
    /// [`TargetFault`].
    pub async fn head(&mut self, method: &str) -> Result<ResponseHead, TargetFault> {
        let mut interim_bytes = 0;
        let mut interim_heads = 0;
        loop {
            match find_head_end(self.input.as_slice())? {
                Some(end) => {
                    let head = ResponseHead::parse(&self.input.as_slice()[..end], method)?;
                    self.input.consume(end);
                    if !head.is_interim() {
                        return Ok(head);
                    }
                    interim_bytes += end;
                    interim_heads += 1;
                    if interim_heads > MAX_INTERIM_HEADS {
                        return Err(TargetFault::TooLarge("interim answers"));
                    }
                }
                None if interim_bytes + self.input.as_slice().len() > MAX_HEAD_BYTES => {
                    return Err(TargetFault::TooLarge("heads"));
                }
                None => self.fill().await?,
            }
        }
    }

    /// Receives more of a body, until some is appended to `out` or the body is complete.
    ///
    /// # Errors
    /// [`TargetFault`].
    pub async fn body(
        &mut self,
        decoder: &mut BodyDecoder,
        out: &mut Vec<u8>,
    ) -> Result<BodyProgress, TargetFault> {
        let before = out.len();
        loop {
            let progress = decoder.decode(&mut self.input, out)?;
            if progress == BodyProgress::Complete || out.len() > before {
                return Ok(progress);
            }
            if self.input.fill(self.stream.inner()).await? == 0 {
                self.is_unusable = true;
                decoder.end()?;
                return Ok(BodyProgress::Complete);
            }
        }
    }

    /// Sends a request and receives the complete answer, whose body has at most `max_body_bytes`.
    ///
    /// # Errors
    /// [`TargetFault`].
    pub async fn exchange(
        &mut self,
        method: &str,
        request: &[u8],
        max_body_bytes: usize,
    ) -> Result<(ResponseHead, Vec<u8>), TargetFault> {
        self.send(request).await?;
        let head = self.head(method).await?;
        let body = self.complete_body(&head, max_body_bytes).await?;
        Ok((head, body))
    }

    /// Receives the complete body that follows `head`, of at most `max_bytes`.
    ///
    /// # Errors
    /// [`TargetFault`]; [`TargetFault::TooLarge`] as soon as the body is known to be larger.
    pub async fn complete_body(
        &mut self,
        head: &ResponseHead,
        max_bytes: usize,
    ) -> Result<Vec<u8>, TargetFault> {
        const TOO_LARGE: TargetFault = TargetFault::TooLarge("bodies");
        if matches!(head.framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(TOO_LARGE);
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            let progress = self.body(&mut decoder, &mut body).await?;
            if body.len() > max_bytes {
                return Err(TOO_LARGE);
            }
            if progress == BodyProgress::Complete {
                return Ok(body);
            }
        }
    }

    async fn fill(&mut self) -> Result<(), TargetFault> {
        let filled = match self.input.fill(self.stream.inner()).await {
            Ok(0) => Err(TargetFault::Closed),
            Ok(_) => Ok(()),
            Err(fault) => Err(TargetFault::Io(fault)),
        };
        filled.map_err(|fault| self.before_answer(fault))?;
        self.has_received = true;
        Ok(())
    }

    /// Returns the fault of a connection that ended, told apart if nothing of the answer has arrived on a reused one.
    fn before_answer(&self, fault: TargetFault) -> TargetFault {
        if !self.is_reused || self.has_received {
            return fault;
        }
        match fault {
            TargetFault::Closed => {
                TargetFault::Unanswered(io::Error::from(io::ErrorKind::UnexpectedEof))
            }
            TargetFault::Io(fault) => TargetFault::Unanswered(fault),
            other => other,
        }
    }
}
