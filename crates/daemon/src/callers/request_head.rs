use {
    super::refusal::Refusal,
    async_std::net::TcpStream,
    futures::io::{AsyncRead, AsyncReadExt, AsyncWrite},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    whinlatch_wire::caller::Reason,
};

/// Bytes that end a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Largest head that the HTTP library accepts, in bytes.
const LIBRARY_MAX_HEAD_BYTES: u64 = 8_191;
/// Largest number of header fields that the HTTP library accepts.
const LIBRARY_MAX_FIELDS: usize = 128;
/// Pieces of a head split at line feeds that aren't fields: the request line, the empty line and
/// the empty rest after it.
const NON_FIELD_LINES: usize = 3;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 4_096;
/// HTTP status of a head that is too large.
const HEAD_TOO_LARGE: u16 = 431;

/// Reason why no head was read.
#[derive(Debug)]
pub enum HeadError {
    /// The caller closed the connection between two requests.
    Closed,
    /// The head is invalid or too large.
    Refused(Refusal),
}

/// Reads the head of a request, and possibly part of its body. The limits are checked here because
/// the HTTP library closes the connection without an answer when its own are exceeded.
pub async fn read_head(stream: &TcpStream, max_bytes: u64) -> Result<Vec<u8>, HeadError> {
    let mut stream = stream;
    let limit = max_bytes.min(LIBRARY_MAX_HEAD_BYTES) as usize;
    let mut head = Vec::new();
    let mut buffer = [0_u8; READ_BYTES];
    loop {
        let read = stream.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            return Err(truncated(&head));
        }
        let search_start = head.len().saturating_sub(HEAD_END.len());
        head.extend_from_slice(&buffer[..read]);
        let end =
            find(&head[search_start..], HEAD_END).map(|at| search_start + at + HEAD_END.len());
        if end.unwrap_or(head.len()) > limit {
            return Err(HeadError::Refused(too_large(limit)));
        }
        if let Some(end) = end {
            check_fields(&head[..end])?;
            return Ok(head);
        }
    }
}

fn truncated(head: &[u8]) -> HeadError {
    if head.is_empty() {
        return HeadError::Closed;
    }
    let message = "the connection ended within the request's head: send all of it";
    HeadError::Refused(Refusal::new(Reason::BadRequest, message))
}

fn check_fields(head: &[u8]) -> Result<(), HeadError> {
    let lines = head.split(|byte| *byte == b'\n').count();
    let fields = lines.saturating_sub(NON_FIELD_LINES);
    if fields <= LIBRARY_MAX_FIELDS {
        return Ok(());
    }
    let message = format!("{fields} header fields are too many: send at most {LIBRARY_MAX_FIELDS}");
    let refusal = Refusal::with_status(HEAD_TOO_LARGE, Reason::TooLarge, message);
    Err(HeadError::Refused(refusal))
}

fn too_large(limit: usize) -> Refusal {
    let message = format!("the request's head is over {limit} bytes: send fewer header fields");
    Refusal::with_status(HEAD_TOO_LARGE, Reason::TooLarge, message)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// A caller's connection, preceded by the bytes that were already read from it.
#[derive(Debug, Clone)]
pub struct ReplayedStream {
    prefix: Vec<u8>,
    /// Bytes of `prefix` that were returned so far.
    consumed: usize,
    stream: TcpStream,
}

impl ReplayedStream {
    /// Creates a stream that yields `prefix` first and then reads from the connection.
    pub fn new(prefix: Vec<u8>, stream: TcpStream) -> Self {
        Self {
            prefix,
            consumed: 0,
            stream,
        }
    }
}

impl AsyncRead for ReplayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = &self.prefix[self.consumed..];
        if remaining.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = remaining.len().min(buffer.len());
        buffer[..count].copy_from_slice(&remaining[..count]);
        self.consumed += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for ReplayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
