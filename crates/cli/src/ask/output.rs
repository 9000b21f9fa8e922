use {
    super::{answer::Answer, progress::Progress},
    std::{
        io::{self, Write},
        time::Instant,
    },
    whinlatch_wire::caller::OutcomeKind,
};

/// Takes the text of an answer: prints it as it comes, or keeps it.
#[derive(Debug)]
pub(super) struct Output<'p> {
    prints: bool,
    progress: &'p Progress,
    pub text: String,
    pub first_text: Option<Instant>,
}

impl<'p> Output<'p> {
    pub fn new(prints: bool, progress: &'p Progress) -> Self {
        Self {
            prints,
            progress,
            text: String::new(),
            first_text: None,
        }
    }

    pub fn take(&mut self, piece: &str) -> io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        if self.first_text.is_none() {
            self.first_text = Some(Instant::now());
            self.progress.stop();
        }
        self.text.push_str(piece);
        if !self.prints {
            return Ok(());
        }
        let mut out = io::stdout().lock();
        out.write_all(piece.as_bytes())?;
        out.flush()
    }

    /// Whether text was printed, so that it can't be taken back.
    pub fn is_printed(&self) -> bool {
        self.prints && !self.text.is_empty()
    }

    /// Drops the text of an answer that broke off.
    pub fn clear(&mut self) {
        self.text.clear();
        self.first_text = None;
    }
}

/// Prints an answer whose text is printed already, or all of it as one line of JSON.
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
        end.retry_after_ms
            .map(|wait| format!("ask again in {wait} ms")),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    parts.join("; ")
}
