#[cfg(test)]
mod tests;

use async_std::io::{self, BufRead, ReadExt, prelude::BufReadExt};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1_048_576;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Event {
    /// Name of the event; empty for the usual ones.
    pub name: String,
    /// The data lines, joined.
    pub data: String,
}

/// Reads server-sent events one by one.
#[derive(Debug)]
pub(crate) struct EventReader<R> {
    reader: R,
}

impl<R: BufRead + Unpin> EventReader<R> {
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// The next event that has data, or `None` at the end of the stream. An event that the stream
    /// ends in is not whole and is dropped.
    pub async fn next(&mut self) -> io::Result<Option<Event>> {
        let mut event = Event::default();
        let mut has_data = false;
        loop {
            let left = MAX_EVENT_BYTES.saturating_sub(event.data.len() + event.name.len());
            let Some(line) = self.line(left).await? else {
                return Ok(None);
            };
            if line.is_empty() && has_data {
                return Ok(Some(event));
            }
            match line.split_once(':').unwrap_or((&line, "")) {
                ("event", value) => field(value).clone_into(&mut event.name),
                ("data", value) => {
                    if has_data {
                        event.data.push('\n');
                    }
                    event.data.push_str(field(value));
                    has_data = true;
                }
                ("", "") => event.name.clear(),
                _comment_or_other_field => {}
            }
        }
    }

    async fn line(&mut self, limit: usize) -> io::Result<Option<String>> {
        let mut bytes = Vec::new();
        (&mut self.reader)
            .take(limit as u64)
            .read_until(b'\n', &mut bytes)
            .await?;
        if bytes.pop_if(|last| *last == b'\n').is_none() {
            if bytes.len() >= limit {
                return Err(io::Error::other("an event is over the limit"));
            }
            return Ok(None);
        }
        bytes.pop_if(|last| *last == b'\r');
        String::from_utf8(bytes).map(Some).map_err(io::Error::other)
    }
}

fn field(value: &str) -> &str {
    value.strip_prefix(' ').unwrap_or(value)
}
