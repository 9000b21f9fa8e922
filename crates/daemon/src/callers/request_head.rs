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

/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Largest head that the HTTP library takes, in bytes.
const LIBRARY_MAX_HEAD_BYTES: u64 = 8_191;
/// Most header fields that the HTTP library takes.
const LIBRARY_MAX_FIELDS: usize = 128;
/// Lines of a head that are no fields: the first, the empty one and what follows it.
const LINES_BESIDE_FIELDS: usize = 3;
/// Bytes read at once.
const READ_BYTES: usize = 4_096;
/// HTTP status of a head that is too large.
const HEAD_TOO_LARGE: u16 = 431;

/// Why there is no head.
#[derive(Debug)]
pub enum NoHead {
    /// The caller closed the connection between two requests.
    Closed,
    /// The head is refused.
    Refused(Refusal),
}

/// Reads the head of a request, and maybe some of its body. The bytes are held to the limits here,
/// since the HTTP library ends the connection without a word when its own are passed.
pub async fn read_head(stream: &TcpStream, max_bytes: u64) -> Result<Vec<u8>, NoHead> {
    let mut stream = stream;
    let limit = max_bytes.min(LIBRARY_MAX_HEAD_BYTES) as usize;
    let mut head = Vec::new();
    let mut buffer = [0_u8; READ_BYTES];
    loop {
        let read = stream.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            return Err(cut_off(&head));
        }
        let searched = head.len().saturating_sub(HEAD_END.len());
        head.extend_from_slice(&buffer[..read]);
        let end = find(&head[searched..], HEAD_END).map(|at| searched + at + HEAD_END.len());
        if end.unwrap_or(head.len()) > limit {
            return Err(NoHead::Refused(too_large(limit)));
        }
        if let Some(end) = end {
            check_fields(&head[..end])?;
            return Ok(head);
        }
    }
}

fn cut_off(head: &[u8]) -> NoHead {
    if head.is_empty() {
        return NoHead::Closed;
    }
    let message = "the request ends within its head: send it whole";
    NoHead::Refused(Refusal::new(Reason::BadRequest, message))
}

fn check_fields(head: &[u8]) -> Result<(), NoHead> {
    let lines = head.split(|byte| *byte == b'\n').count();
    let fields = lines.saturating_sub(LINES_BESIDE_FIELDS);
    if fields <= LIBRARY_MAX_FIELDS {
        return Ok(());
    }
    let message = format!("{fields} header fields are too many: send at most {LIBRARY_MAX_FIELDS}");
    let refusal = Refusal::with_status(HEAD_TOO_LARGE, Reason::TooLarge, message);
    Err(NoHead::Refused(refusal))
}

fn too_large(limit: usize) -> Refusal {
    let message = format!("the request's head is over {limit} bytes: send fewer header fields");
    Refusal::with_status(HEAD_TOO_LARGE, Reason::TooLarge, message)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// A caller's connection with the bytes in front of it that were read already.
#[derive(Debug, Clone)]
pub struct Replayed {
    read: Vec<u8>,
    taken: usize,
    stream: TcpStream,
}

impl Replayed {
    /// Reads `read` first, then from the connection.
    pub fn new(read: Vec<u8>, stream: TcpStream) -> Self {
        Self {
            read,
            taken: 0,
            stream,
        }
    }
}

impl AsyncRead for Replayed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = &self.read[self.taken..];
        if left.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&left[..count]);
        self.taken += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Replayed {
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
