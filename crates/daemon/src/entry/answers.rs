//! Writes answers to callers.

use {
    super::http::{Framing, ResponseHead},
    async_std::net::TcpStream,
    futures::AsyncWriteExt,
    std::{
        fmt::Write,
        io,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    whinlatch_platform::{error_body, is_forwarded_to_caller},
};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Statuses that promise the caller that its request has not run. A target's answer with one of them is
/// passed on only with the header that confirms it.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The answer to a request. At most one is written.
#[derive(Debug)]
pub struct CallerAnswer<'a> {
    stream: &'a TcpStream,
    is_last: bool,
    has_begun: AtomicBool,
    may_have_run: AtomicBool,
    progress: Arc<Mutex<RequestProgress>>,
}

/// Progress of a request, for its log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// Time to the first event, in ms.
    pub first_event_ms: Option<u64>,
    /// Longest pause between two events, in ms.
    pub longest_pause_ms: u64,
    /// Number of times that the request was sent to a target.
    pub sends: u32,
    /// Framing of the last answer that a target began.
    pub framing: Option<Framing>,
    /// Bytes of an incomplete event at the end of the last attempt's stream, if there were any.
    pub partial_event_bytes: Option<usize>,
}

impl<'a> CallerAnswer<'a> {
    /// Creates an answer that hasn't begun. With `is_last`, the connection closes after it.
    pub fn new(stream: &'a TcpStream, is_last: bool) -> Self {
        Self::with_progress(stream, is_last, Arc::default())
    }

    /// Creates an answer that records its progress at a place that others read.
    pub fn with_progress(
        stream: &'a TcpStream,
        is_last: bool,
        progress: Arc<Mutex<RequestProgress>>,
    ) -> Self {
        Self {
            stream,
            is_last,
            has_begun: AtomicBool::new(false),
            may_have_run: AtomicBool::new(false),
            progress,
        }
    }

    /// Returns the progress so far.
    pub fn progress(&self) -> RequestProgress {
        *self.lock()
    }

    /// Records that the request is sent to a target. Returns the number of sends so far.
    pub fn record_send(&self) -> u32 {
        let mut progress = self.lock();
        progress.sends += 1;
        progress.sends
    }

    /// Takes over what became of the request at the peer that has forwarded it: the number of times that it was sent to
    /// a target, and whether one may have run it.
    pub fn continue_from(&self, sends: u32, may_have_run: bool) {
        self.lock().sends = sends;
        self.set_may_have_run(may_have_run);
    }

    /// Records the time to the first event, in ms.
    pub fn record_first_event(&self, ms: u64) {
        self.lock().first_event_ms = Some(ms);
    }

    /// Records a pause between two events, in ms.
    pub fn record_pause(&self, ms: u64) {
        let mut progress = self.lock();
        progress.longest_pause_ms = progress.longest_pause_ms.max(ms);
    }

    /// Records the framing of an answer that a target begins.
    pub fn record_framing(&self, framing: Framing) {
        self.lock().framing = Some(framing);
    }

    /// Records how many bytes of an incomplete event were left when an attempt's stream ended.
    pub fn record_partial_event(&self, bytes: usize) {
        self.lock().partial_event_bytes = (bytes > 0).then_some(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, RequestProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether some of the answer was written, so that no other one can be sent.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Returns whether a target may have run the request, so that no status of [`NOT_RUN_STATUSES`] may be
    /// sent.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Sets whether a target may have run the request. Called before the first byte is sent to a target.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }

    /// Writes an error of this system as JSON. `retry_after_ms` becomes a `Retry-After` header in seconds.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn write_error(
        &self,
        status: u16,
        message: &str,
        retry_after_ms: Option<u64>,
    ) -> io::Result<()> {
        let body = error_body(message)?;
        let mut head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\n",
            reason(status)
        );
        if let Some(ms) = retry_after_ms {
            // Writing to a String can't fail.
            let _written = write!(head, "Retry-After: {:.2}\r\n", ms as f64 / MS_PER_S);
        }
        self.finish(head, &body).await
    }

    /// Writes a target's complete answer.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn write_full(&self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        self.finish(status_and_headers(head), body).await
    }

    async fn finish(&self, mut head: String, body: &[u8]) -> io::Result<()> {
        let _written = write!(head, "Content-Length: {}\r\n", body.len());
        self.end_head(&mut head);
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes).await
    }

    /// Begins a stream with the head of the first target that streams, and its first events.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn begin(&self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        let mut text = status_and_headers(head);
        text.push_str("Transfer-Encoding: chunked\r\n");
        self.end_head(&mut text);
        let mut bytes = text.into_bytes();
        push_chunk(&mut bytes, events);
        self.write(&bytes).await
    }

    /// Writes further events of a stream.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn events(&self, events: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        push_chunk(&mut bytes, events);
        self.write(&bytes).await
    }

    /// Writes the last chunk of a complete stream.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn end(&self) -> io::Result<()> {
        self.write(b"0\r\n\r\n").await
    }

    fn end_head(&self, head: &mut String) {
        if self.is_last {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
    }

    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.has_begun.store(true, Ordering::Relaxed);
        let mut stream = self.stream;
        stream.write_all(bytes).await
    }
}

fn push_chunk(bytes: &mut Vec<u8>, chunk: &[u8]) {
    if chunk.is_empty() {
        return;
    }
    bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    bytes.extend_from_slice(chunk);
    bytes.extend_from_slice(b"\r\n");
}

fn status_and_headers(head: &ResponseHead) -> String {
    let mut text = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason);
    for (name, value) in head
        .pairs()
        .filter(|(name, _)| is_forwarded_to_caller(name))
    {
        let _written = write!(text, "{name}: {value}\r\n");
    }
    text
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Failure",
    }
}
