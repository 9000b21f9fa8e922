/// Limit for an event, in bytes; a target that sends more without an end of the event is broken.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a stream of server-sent events into complete events. An event ends with an empty line; lines end with CR,
/// LF or both.
///
/// Guards against a target that stops in the middle of an event: the caller would get a part of the event, and
/// then the complete event from the target that resumes the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Bytes of `pending` in which no event ends.
    searched_bytes: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Returns the buffer to which decoded bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Returns the id of the last complete event that was taken, if any had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes all complete events, byte for byte; `None` if there is none.
    pub fn take_complete(&mut self) -> Option<Vec<u8>> {
        let end = last_event_end(&self.pending, self.searched_bytes);
        self.searched_bytes = self.pending.len() - end.unwrap_or(0);
        let rest = self.pending.split_off(end?);
        let complete = std::mem::replace(&mut self.pending, rest);
        self.record_ids(&complete);
        Some(complete)
    }

    /// Returns whether more was received without the end of an event than any event has, after the complete ones were
    /// taken.
    pub fn is_overfull(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Takes the line ends and comments after the last complete event, at the end of a complete stream.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.searched_bytes = 0;
        std::mem::take(&mut self.pending)
    }

    /// Returns the number of bytes of an event that has begun and isn't complete, after the complete ones were
    /// taken.
    pub fn partial_event_bytes(&self) -> usize {
        if ends_inside_event(&self.pending) {
            self.pending.len()
        } else {
            0
        }
    }

    /// Discards an incomplete event; the target that resumes the stream sends it from its start.
    pub fn discard_partial(&mut self) {
        self.searched_bytes = 0;
        self.pending.clear();
    }

    fn record_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| matches!(byte, b'\n' | b'\r')) {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.trim().parse().ok());
            self.last_id = id.or(self.last_id);
        }
    }
}

/// Returns whether a stream that ends with these bytes stops inside an event, so that it is broken off whatever its
/// framing says.
pub fn ends_inside_event(stream: &[u8]) -> bool {
    let rest = &stream[last_event_end(stream, 0).unwrap_or(0)..];
    let mut lines = rest.split_inclusive(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| {
        let is_line_end = matches!(line, b"\n" | b"\r");
        let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
        !is_line_end && !is_comment
    })
}

/// Returns the index after the last empty line that ends at `from` or later.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .rev()
        .find(|index| is_empty_line_end(bytes, *index))
        .map(|index| index + 1)
}

/// Returns whether the byte at `index` is the last one of an empty line.
fn is_empty_line_end(bytes: &[u8], index: usize) -> bool {
    let line = match bytes[index] {
        b'\n' => bytes[..index]
            .strip_suffix(b"\r")
            .unwrap_or(&bytes[..index]),
        b'\r' => &bytes[..index],
        _ => return false,
    };
    matches!(line.last(), Some(b'\n' | b'\r'))
}

#[cfg(test)]
#[path = "event_splitter_test.rs"]
mod tests;
