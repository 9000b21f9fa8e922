#[cfg(test)]
mod tests;

use async_std::io::{self, BufRead, ReadExt, prelude::BufReadExt};

/// Maximum size of an event, in bytes; limits what a faulty server makes the tool keep in memory.
const MAX_EVENT_BYTES: usize = 1_048_576;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Event {
    /// Value of the `event` field; empty if the event has none.
    pub name: String,
    /// Values of the `data` fields, joined by line breaks.
    pub data: String,
}

/// Reads server-sent events from a stream.
#[derive(Debug)]
pub(crate) struct EventReader<R> {
    reader: R,
}

impl<R: BufRead + Unpin> EventReader<R> {
    pub fn new(reader: R) -> Self {
        Self { reader }
    }

    /// Returns the next event that has data, or `None` at the end of the stream. An event that the stream
    /// ends in the middle of is incomplete and is dropped.
    pub async fn next(&mut self) -> io::Result<Option<Event>> {
        let mut event = Event::default();
        let mut has_data = false;
        loop {
            let remaining = MAX_EVENT_BYTES.saturating_sub(event.data.len() + event.name.len());
            let Some(line) = self.read_line(remaining).await? else {
                return Ok(None);
            };
            if line.is_empty() && has_data {
                return Ok(Some(event));
            }
            match line.split_once(':').unwrap_or((&line, "")) {
                ("event", value) => field_value(value).clone_into(&mut event.name),
                ("data", value) => {
                    if has_data {
                        event.data.push('\n');
                    }
                    event.data.push_str(field_value(value));
                    has_data = true;
                }
                ("", "") => event.name.clear(),
                _comment_or_other_field => {}
            }
        }
    }

    async fn read_line(&mut self, limit: usize) -> io::Result<Option<String>> {
        let mut bytes = Vec::new();
        (&mut self.reader)
            .take(limit as u64)
            .read_until(b'\n', &mut bytes)
            .await?;
        if bytes.pop_if(|last| *last == b'\n').is_none() {
            if bytes.len() >= limit {
                return Err(io::Error::other("an event exceeds the size limit"));
            }
            return Ok(None);
        }
        bytes.pop_if(|last| *last == b'\r');
        String::from_utf8(bytes).map(Some).map_err(io::Error::other)
    }
}

fn field_value(value: &str) -> &str {
    value.strip_prefix(' ').unwrap_or(value)
}
