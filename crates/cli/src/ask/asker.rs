use {
    super::{
        answer::{Answer, CONNECTION_LOST, End, NO_ENTRY},
        attempt::{Attempt, read_call, read_stream},
        output::Output,
        progress::Progress,
        question::Question,
    },
    crate::{
        entries::EntryList,
        errors::CliError,
        http::{send, url},
    },
    async_std::future::timeout,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinlatch_wire::{caller::OutcomeKind, ids::Ticket},
};

/// Time after the deadline in which the entry's own word about it is waited for.
const GRACE: Duration = Duration::from_secs(2);

/// Sends requests to the entries that may be used.
#[derive(Debug)]
pub(super) struct Asker {
    entries: EntryList,
}

impl Asker {
    pub fn new(entries: EntryList) -> Self {
        Self { entries }
    }

    /// Sends a request until an entry ends it, each entry at most once.
    ///
    /// A request is safe to send again, also after its connection broke: prompts and repeatable
    /// calls may run twice, and a call that may not be repeated carries its ticket, which only the
    /// ticket's home may use, once.
    pub async fn ask(
        &self,
        question: &Question,
        prints: bool,
        progress: &Progress,
    ) -> Result<Answer, CliError> {
        let mut output = Output::new(prints, progress);
        let mut course = Course::new(question);
        let mut at = self.next_entry(&course).await;
        while let Some(entry) = at {
            course.attempts += 1;
            match attempt(entry, question, &course, &mut output).await? {
                Attempt::Ended(end) if end.asks_for_ticket() && course.ticket.is_none() => {
                    course.ticket = end.ticket;
                    continue;
                }
                Attempt::Ended(end) => {
                    let moves_on = end.is_for_another_entry();
                    course.end = Some((entry, end));
                    if !moves_on {
                        break;
                    }
                }
                Attempt::Broken(detail) => {
                    course.broken = Some((entry, detail));
                    if output.is_printed() {
                        break;
                    }
                    output.clear();
                }
                Attempt::NotConnected => {}
            }
            course.tried.push(entry);
            self.entries.expire().await;
            at = self.next_entry(&course).await;
        }
        Ok(course.into_answer(output))
    }

    async fn next_entry(&self, course: &Course<'_>) -> Option<SocketAddr> {
        if course.left().is_zero() {
            return None;
        }
        let usable = self.entries.usable().await;
        usable
            .into_iter()
            .find(|entry| !course.tried.contains(entry))
    }
}

async fn attempt(
    entry: SocketAddr,
    question: &Question,
    course: &Course<'_>,
    output: &mut Output<'_>,
) -> Result<Attempt, CliError> {
    let left = course.left();
    let exchange = async {
        let url = match url(entry, question.path()) {
            Ok(url) => url,
            Err(error) => return Ok(error.into()),
        };
        match send(entry, question.to_request(url, left, course.ticket)).await {
            Ok(response) if question.is_streamed() => read_stream(response, output).await,
            Ok(response) => read_call(response, output).await,
            Err(error) => Ok(error.into()),
        }
    };
    // A connection that goes silent for good would otherwise be waited on without end.
    match timeout(left + GRACE, Box::pin(exchange)).await {
        Ok(attempt) => attempt,
        Err(_late) => Ok(Attempt::Broken("no answer by the deadline".to_owned())),
    }
}

/// What has happened to a request so far.
#[derive(Debug)]
struct Course<'q> {
    question: &'q Question,
    begin: Instant,
    attempts: u32,
    tried: Vec<SocketAddr>,
    ticket: Option<Ticket>,
    end: Option<(SocketAddr, End)>,
    broken: Option<(SocketAddr, String)>,
}

impl<'q> Course<'q> {
    fn new(question: &'q Question) -> Self {
        Self {
            question,
            begin: Instant::now(),
            attempts: 0,
            tried: Vec::new(),
            ticket: question.ticket,
            end: None,
            broken: None,
        }
    }

    fn left(&self) -> Duration {
        self.question.deadline.saturating_sub(self.begin.elapsed())
    }

    /// The end as the caller may rely on it. An entry that says `not_run` speaks for what it was
    /// sent; where an earlier attempt broke off, that one may have run.
    fn into_end(self) -> (Option<SocketAddr>, End) {
        match (self.end, self.broken) {
            (Some((entry, end)), None) => (Some(entry), end),
            (Some((entry, end)), Some(_)) if end.outcome != OutcomeKind::NotRun => {
                (Some(entry), end)
            }
            (_, Some((entry, detail))) => {
                let message = format!(
                    "{detail}: send it again with the same idempotency key{}",
                    if self.ticket.is_some() {
                        " and ticket"
                    } else {
                        ""
                    }
                );
                let end = End::own(OutcomeKind::Unknown, CONNECTION_LOST, &message);
                (Some(entry), end)
            }
            (None, None) => {
                let message = "no entry could be reached: check the addresses and that one runs";
                (None, End::own(OutcomeKind::NotRun, NO_ENTRY, message))
            }
        }
    }

    fn into_answer(self, output: Output<'_>) -> Answer {
        let begin = self.begin;
        let millis = |at: Instant| at.duration_since(begin).as_millis() as u64;
        let first_text_ms = output.first_text.map(millis);
        let (question, attempts, ticket) = (self.question, self.attempts, self.ticket);
        let (entry, end) = self.into_end();
        // The ticket is what its holder needs to ask again, whatever the end.
        let end = End {
            ticket: ticket.or(end.ticket),
            ..end
        };
        Answer {
            number: question.number,
            end,
            idempotency_key: question.idempotency_key.clone(),
            entry,
            attempts,
            prompt_tokens: question.prompt_tokens(),
            first_text_ms,
            total_ms: millis(Instant::now()),
            text: output.text,
        }
    }
}
