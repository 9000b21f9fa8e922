use {
    super::{answer::Answer, progress::Progress},
    std::{
        io::{self, Write},
        time::Instant,
    },
    whinlatch_wire::caller::OutcomeKind,
};

/// Collects the text of an answer and, if it `streams`, prints it as it arrives.
#[derive(Debug)]
pub(super) struct Output<'p> {
    /// Whether text is printed as it arrives.
    streams: bool,
    progress: &'p Progress,
    /// Text received so far.
    pub text: String,
    /// When the first text arrived; `None` before.
    pub first_text_at: Option<Instant>,
}

impl<'p> Output<'p> {
    pub fn new(streams: bool, progress: &'p Progress) -> Self {
        Self {
            streams,
            progress,
            text: String::new(),
            first_text_at: None,
        }
    }

    pub fn push(&mut self, text: &str) -> io::Result<()> {
        if text.is_empty() {
            return Ok(());
        }
        if self.first_text_at.is_none() {
            self.first_text_at = Some(Instant::now());
            self.progress.stop();
        }
        self.text.push_str(text);
        if !self.streams {
            return Ok(());
        }
        let mut out = io::stdout().lock();
        out.write_all(text.as_bytes())?;
        out.flush()
    }

    /// Returns true if text was printed already: the request can't be retried without repeating it.
    pub fn is_printed(&self) -> bool {
        self.streams && !self.text.is_empty()
    }

    /// Discards the text of an incomplete answer, before a retry.
    pub fn clear(&mut self) {
        self.text.clear();
        self.first_text_at = None;
    }
}

/// Prints the final line for an answer whose text has been streamed, or the whole answer as one line of JSON.
pub(super) fn print_answer(answer: &Answer, json: bool) -> io::Result<()> {
    if json {
        return print_json(answer);
    }
    if !answer.text.is_empty() && !answer.text.ends_with('\n') {
        writeln!(io::stdout().lock())?;
    }
    writeln!(io::stderr().lock(), "{}", describe(answer))
}

pub(super) fn print_json(answer: &Answer) -> io::Result<()> {
    let line = serde_json::to_string(answer).map_err(io::Error::other)?;
    writeln!(io::stdout().lock(), "{line}")
}

fn describe(answer: &Answer) -> String {
    let end = &answer.end;
    let head = match end.outcome {
        OutcomeKind::Completed => format!("{}: {}", end.outcome, end.reason),
        OutcomeKind::NotRun | OutcomeKind::Unknown => {
            format!("{}: {}, {}", end.outcome, end.reason, end.message)
        }
    };
    let ticket = end.ticket.filter(|_| end.outcome != OutcomeKind::Completed);
    let parts = [
        Some(head),
        end.request.map(|request| format!("request {request}")),
        answer.entry.map(|entry| format!("entry {entry}")),
        answer
            .first_text_ms
            .map(|first| format!("first text after {first} ms")),
        Some(format!("ended after {} ms", answer.total_ms)),
        ticket.map(|ticket| format!("ticket {ticket}")),
        end.retry_after_ms.map(|wait| format!("retry in {wait} ms")),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    parts.join("; ")
}
