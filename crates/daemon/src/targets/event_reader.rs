use {
    futures::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt},
    std::io,
};

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1_048_576;
/// Prefix of a line that carries an event's data.
const DATA: &[u8] = b"data:";

/// Reads server-sent events.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: R,
    line: Vec<u8>,
}

impl<R: AsyncBufRead + Unpin> EventReader<R> {
    /// Creates a reader of the events in `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            line: Vec::new(),
        }
    }

    /// Reads the data of the next event; `None` at the end of the stream. Each event must have its
    /// data on one line. Fails if the stream ends within a line or a line is too long.
    pub async fn next(&mut self) -> io::Result<Option<&[u8]>> {
        loop {
            self.line.clear();
            let read = (&mut self.reader)
                .take(MAX_LINE_BYTES)
                .read_until(b'\n', &mut self.line)
                .await?;
            if read == 0 {
                return Ok(None);
            }
            if self.line.last() != Some(&b'\n') {
                // The stream ended within a line, or the line is too long.
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.line.starts_with(DATA) {
                return Ok(Some(self.line[DATA.len()..].trim_ascii()));
            }
        }
    }
}

#[cfg(test)]
#[path = "event_reader_test.rs"]
mod tests;
