use {
    futures::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt},
    std::io,
};

/// Largest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1_048_576;
/// Name of the field that carries an event's data.
const DATA: &[u8] = b"data:";

/// Reads server-sent events.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: R,
    line: Vec<u8>,
}

impl<R: AsyncBufRead + Unpin> EventReader<R> {
    /// Reads events from `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            line: Vec::new(),
        }
    }

    /// The data of the next event, each on one line; `None` at the end of the stream.
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
