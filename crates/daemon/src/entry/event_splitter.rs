/// Splits a stream of server-sent events into complete events.
///
/// Guards against a target that stops in the middle of an event: the caller would get a part of the event, and
/// then the complete event from the target that resumes the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
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
        let end = last_event_end(&self.pending)?;
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        self.record_ids(&complete);
        Some(complete)
    }

    /// Takes the bytes after the last complete event, at the end of a complete stream.
    pub fn take_rest(&mut self) -> Option<Vec<u8>> {
        let rest = std::mem::take(&mut self.pending);
        (!rest.is_empty()).then_some(rest)
    }

    /// Returns the number of bytes after the last complete event that was taken.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Discards an incomplete event; the target that resumes the stream sends it from its start.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    fn record_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
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

/// Returns the index after the last empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|index| {
        let is_end = bytes[index] == b'\n'
            && (bytes[..index].ends_with(b"\n") || bytes[..index].ends_with(b"\n\r"));
        is_end.then_some(index + 1)
    })
}
