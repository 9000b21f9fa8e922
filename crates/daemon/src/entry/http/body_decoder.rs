use {
    super::{Framing, Input},
    thiserror::Error,
};

/// Limit for the size line of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Limit for the trailer lines after the last chunk, in bytes.
const MAX_TRAILER_BYTES: usize = 64 * 1024;

/// Reason why a body can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyFault {
    /// The chunked coding is invalid.
    #[error("the chunks of the body can't be read: {0}")]
    Malformed(&'static str),
    /// The connection ended before the body was complete.
    #[error("the body is cut off")]
    Truncated,
}

/// State of a body that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes are expected.
    More,
    /// The body is complete.
    Complete,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    /// Trailer lines, with the number of bytes that they may still have.
    Trailer(usize),
    UntilClose,
    Complete,
}

/// Removes the framing from a body as its bytes arrive.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Consumes what has arrived of the body and appends it to `out` without its framing.
    ///
    /// # Errors
    /// [`BodyFault::Malformed`].
    pub fn decode(
        &mut self,
        input: &mut Input,
        out: &mut Vec<u8>,
    ) -> Result<BodyProgress, BodyFault> {
        loop {
            let advanced = match self.state {
                State::Complete => return Ok(BodyProgress::Complete),
                State::Length(left) => self.take(input, out, left, State::Length, State::Complete),
                State::Chunk(left) => self.take(input, out, left, State::Chunk, State::ChunkEnd),
                State::UntilClose => {
                    out.extend_from_slice(input.as_slice());
                    input.consume(input.as_slice().len());
                    false
                }
                State::ChunkLine => self.chunk_line(input)?,
                State::ChunkEnd => self.chunk_end(input)?,
                State::Trailer(left) => self.trailer(input, left)?,
            };
            if !advanced {
                return Ok(BodyProgress::More);
            }
        }
    }

    /// Handles an orderly end of the connection.
    ///
    /// # Errors
    /// [`BodyFault::Truncated`] if the body isn't complete.
    pub fn end(&mut self) -> Result<(), BodyFault> {
        match self.state {
            State::Complete | State::UntilClose => Ok(()),
            _ => Err(BodyFault::Truncated),
        }
    }

    fn take(
        &mut self,
        input: &mut Input,
        out: &mut Vec<u8>,
        left: u64,
        more: impl Fn(u64) -> State,
        done: State,
    ) -> bool {
        let available = input.as_slice().len();
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(available);
        out.extend_from_slice(&input.as_slice()[..count]);
        input.consume(count);
        let left = left - count as u64;
        self.state = if left == 0 { done } else { more(left) };
        left == 0
    }

    fn chunk_line(&mut self, input: &mut Input) -> Result<bool, BodyFault> {
        let Some(line) = line(input, MAX_CHUNK_LINE_BYTES)? else {
            return Ok(false);
        };
        let digits = line.split(';').next().unwrap_or_default().trim_end();
        let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        let length = u64::from_str_radix(digits, 16).ok().filter(|_| is_hex);
        self.state = match length {
            None => return Err(BodyFault::Malformed("a length isn't a number")),
            Some(0) => State::Trailer(MAX_TRAILER_BYTES),
            Some(length) => State::Chunk(length),
        };
        Ok(true)
    }

    fn chunk_end(&mut self, input: &mut Input) -> Result<bool, BodyFault> {
        let bytes = input.as_slice();
        if bytes.len() < 2 {
            return Ok(false);
        }
        if &bytes[..2] != b"\r\n" {
            return Err(BodyFault::Malformed("a chunk is longer than its length"));
        }
        input.consume(2);
        self.state = State::ChunkLine;
        Ok(true)
    }

    fn trailer(&mut self, input: &mut Input, left: usize) -> Result<bool, BodyFault> {
        let Some(line) = line(input, left)? else {
            return Ok(false);
        };
        self.state = match line.len() {
            0 => State::Complete,
            length => State::Trailer(left - length),
        };
        Ok(true)
    }
}

/// Takes a line that ends with CR LF, without its end; `None` if it isn't complete yet.
fn line(input: &mut Input, max_bytes: usize) -> Result<Option<String>, BodyFault> {
    let bytes = input.as_slice();
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > max_bytes {
            Err(BodyFault::Malformed("a line is too long"))
        } else {
            Ok(None)
        };
    };
    if end > max_bytes {
        return Err(BodyFault::Malformed("a line is too long"));
    }
    if end == 0 || bytes[end - 1] != b'\r' {
        return Err(BodyFault::Malformed(
            "a line ends without a carriage return",
        ));
    }
    let line = std::str::from_utf8(&bytes[..end - 1])
        .map_err(|_not_text| BodyFault::Malformed("a line isn't text"))?
        .to_owned();
    input.consume(end + 1);
    Ok(Some(line))
}
