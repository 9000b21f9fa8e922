use {std::iter, thiserror::Error};

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
    position: StreamPosition,
    /// Event after which the current attempt was asked to go on, until its first event was taken.
    resumes_after: Option<u64>,
}

/// How much of a stream was taken from its attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StreamPosition {
    /// No event.
    #[default]
    Start,
    /// All events up to the one with this id.
    After(u64),
    /// The last event has no id, or one that isn't a number, so that no other target can go on after it.
    Unnumbered,
}

/// A target that was asked to go on after an event has sent that one or an earlier one, or an event whose place in the
/// stream can't be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the target didn't go on after the last event")]
pub struct BegunAnew;

impl EventSplitter {
    /// Returns the buffer to which decoded bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Begins an attempt whose target goes on after the event with this id, or begins with the first event.
    pub fn begin_attempt(&mut self, after: Option<u64>) {
        self.resumes_after = after;
    }

    /// Returns the id of the last complete event that was taken, if it has one.
    pub fn last_id(&self) -> Option<u64> {
        match self.position {
            StreamPosition::After(id) => Some(id),
            StreamPosition::Start | StreamPosition::Unnumbered => None,
        }
    }

    /// Returns whether another target can go on after what was taken.
    pub fn is_resumable(&self) -> bool {
        self.position != StreamPosition::Unnumbered
    }

    /// Takes all complete events, byte for byte; `None` if there is none.
    ///
    /// # Errors
    /// [`BegunAnew`]; nothing is taken.
    pub fn take_complete(&mut self) -> Result<Option<Vec<u8>>, BegunAnew> {
        let end = last_event_end(&self.pending, self.searched_bytes);
        self.searched_bytes = self.pending.len() - end.unwrap_or(0);
        let Some(end) = end else {
            return Ok(None);
        };
        if goes_on_after(&self.pending[..end], self.resumes_after)? {
            self.resumes_after = None;
        }
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        self.position = events(&complete).fold(self.position, StreamPosition::advanced);
        Ok(Some(complete))
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
}

impl StreamPosition {
    fn advanced(self, event: Event) -> Self {
        match event {
            Event::Numbered(id) => Self::After(id),
            Event::Unnumbered => Self::Unnumbered,
            Event::Comment => self,
        }
    }
}

/// What tells the place of a complete event in its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// Its id is this number.
    Numbered(u64),
    /// It has no id, or one that isn't a number.
    Unnumbered,
    /// It holds nothing for the caller, such as a comment that keeps the connection open.
    Comment,
}

/// Checks that the events of an attempt which was to go on after an event come after that one.
///
/// # Errors
/// [`BegunAnew`].
pub fn check_resumed(stream: &[u8], after: Option<u64>) -> Result<(), BegunAnew> {
    goes_on_after(stream, after).map(|_known| ())
}

/// Returns whether the first event shows that an attempt goes on after the event `after`; `false` if there is none yet.
fn goes_on_after(stream: &[u8], after: Option<u64>) -> Result<bool, BegunAnew> {
    let Some(after) = after else {
        return Ok(false);
    };
    let first = events(stream).find(|event| *event != Event::Comment);
    match first {
        None => Ok(false),
        Some(Event::Numbered(id)) if id > after => Ok(true),
        Some(_) => Err(BegunAnew),
    }
}

/// Returns the events of complete ones.
fn events(complete: &[u8]) -> impl Iterator<Item = Event> {
    let mut lines = lines(complete).peekable();
    iter::from_fn(move || {
        lines.peek()?;
        let event = lines.by_ref().take_while(|line| !line.is_empty());
        Some(event.fold(Event::Comment, Event::with_line))
    })
}

/// Returns the lines of complete events without their ends.
fn lines(mut text: &[u8]) -> impl Iterator<Item = &[u8]> {
    iter::from_fn(move || {
        let end = text.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let line = &text[..end];
        let end_bytes = if text[end..].starts_with(b"\r\n") {
            2
        } else {
            1
        };
        text = &text[end + end_bytes..];
        Some(line)
    })
}

impl Event {
    /// Returns what an event is after one more of its lines.
    fn with_line(self, line: &[u8]) -> Self {
        let (name, value) = match line.iter().position(|byte| *byte == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &[][..]),
        };
        match (name, self) {
            (b"id", _) => parse_event_id(value).map_or(Self::Unnumbered, Self::Numbered),
            (b"data", Self::Comment) => Self::Unnumbered,
            (_, event) => event,
        }
    }
}

/// Parses an id that consists of decimal digits.
fn parse_event_id(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value.trim_ascii()).ok()?;
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
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
