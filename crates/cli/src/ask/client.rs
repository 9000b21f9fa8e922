use {
    super::{
        answer::{Answer, CONNECTION_LOST, NO_ENTRY, RequestEnd},
        attempt::{AttemptResult, read_call, read_stream},
        output::Output,
        progress::Progress,
        request::AskRequest,
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

/// Time after the deadline for which the tool still waits, since the entry itself reports the missed
/// deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Sends requests to the entries of a list, one after another until one reports a final outcome.
#[derive(Debug)]
pub(super) struct AskClient {
    entries: EntryList,
}

impl AskClient {
    pub fn new(entries: EntryList) -> Self {
        Self { entries }
    }

    /// Sends a request to one entry after another until one reports its outcome; each entry is tried at most
    /// once, except to resend a call with the ticket that the entry issued.
    ///
    /// Resending is safe even after a connection broke: prompts and idempotent calls may run twice, and
    /// a non-idempotent call carries its ticket, which only the daemon that issued it can use, and only once.
    pub async fn send(
        &self,
        request: &AskRequest,
        streams: bool,
        progress: &Progress,
    ) -> Result<Answer, CliError> {
        let mut output = Output::new(streams, progress);
        let mut state = RequestState::new(request);
        let mut next = self.next_entry(&state).await;
        while let Some(entry) = next {
            state.attempts += 1;
            match attempt(entry, request, &state, &mut output).await? {
                AttemptResult::Ended(end) if end.requires_ticket() && state.ticket.is_none() => {
                    state.ticket = end.ticket;
                    continue;
                }
                AttemptResult::Ended(end) => {
                    let fails_over = end.is_retryable_elsewhere();
                    state.end = Some((entry, end));
                    if !fails_over {
                        break;
                    }
                }
                AttemptResult::Broken(detail) => {
                    state.broken = Some((entry, detail));
                    if output.is_printed() {
                        break;
                    }
                    output.clear();
                }
                AttemptResult::NotConnected => {}
            }
            state.tried.push(entry);
            self.entries.expire().await;
            next = self.next_entry(&state).await;
        }
        Ok(state.into_answer(output))
    }

    async fn next_entry(&self, state: &RequestState<'_>) -> Option<SocketAddr> {
        if state.remaining().is_zero() {
            return None;
        }
        let candidates = self.entries.candidates().await;
        candidates
            .into_iter()
            .find(|entry| !state.tried.contains(entry))
    }
}

async fn attempt(
    entry: SocketAddr,
    request: &AskRequest,
    state: &RequestState<'_>,
    output: &mut Output<'_>,
) -> Result<AttemptResult, CliError> {
    let remaining = state.remaining();
    let exchange = async {
        let url = match url(entry, request.path()) {
            Ok(url) => url,
            Err(error) => return Ok(error.into()),
        };
        match send(entry, request.to_http_request(url, remaining, state.ticket)).await {
            Ok(response) if request.is_streamed() => read_stream(response, output).await,
            Ok(response) => read_call(response, output).await,
            Err(error) => Ok(error.into()),
        }
    };
    // Without a timeout, a connection that goes silent would block the tool forever.
    match timeout(remaining + DEADLINE_GRACE, Box::pin(exchange)).await {
        Ok(attempt) => attempt,
        Err(_elapsed) => Ok(AttemptResult::Broken(
            "no answer by the deadline".to_owned(),
        )),
    }
}

/// State of a request across its attempts.
#[derive(Debug)]
struct RequestState<'q> {
    request: &'q AskRequest,
    started_at: Instant,
    attempts: u32,
    tried: Vec<SocketAddr>,
    ticket: Option<Ticket>,
    end: Option<(SocketAddr, RequestEnd)>,
    broken: Option<(SocketAddr, String)>,
}

impl<'q> RequestState<'q> {
    fn new(request: &'q AskRequest) -> Self {
        Self {
            request,
            started_at: Instant::now(),
            attempts: 0,
            tried: Vec::new(),
            ticket: request.ticket,
            end: None,
            broken: None,
        }
    }

    fn remaining(&self) -> Duration {
        self.request
            .deadline
            .saturating_sub(self.started_at.elapsed())
    }

    /// Returns the outcome that holds for all attempts together. `not_run` from an entry covers only what
    /// that entry received: if the connection of an earlier attempt broke, that attempt may have run, and
    /// the outcome is `unknown`.
    fn into_end(self) -> (Option<SocketAddr>, RequestEnd) {
        match (self.end, self.broken) {
            (Some((entry, end)), None) => (Some(entry), end),
            (Some((entry, end)), Some(_)) if end.outcome != OutcomeKind::NotRun => {
                (Some(entry), end)
            }
            (_, Some((entry, detail))) => {
                let message = format!(
                    "{detail}: resend the request with the same idempotency key{}",
                    if self.ticket.is_some() {
                        " and ticket"
                    } else {
                        ""
                    }
                );
                let end = RequestEnd::local(OutcomeKind::Unknown, CONNECTION_LOST, &message);
                (Some(entry), end)
            }
            (None, None) => {
                let message =
                    "no entry could be reached: check the addresses and that an entry is running";
                (
                    None,
                    RequestEnd::local(OutcomeKind::NotRun, NO_ENTRY, message),
                )
            }
        }
    }

    fn into_answer(self, output: Output<'_>) -> Answer {
        let started_at = self.started_at;
        let millis = |at: Instant| at.duration_since(started_at).as_millis() as u64;
        let first_text_ms = output.first_text_at.map(millis);
        let (request, attempts, ticket) = (self.request, self.attempts, self.ticket);
        let (entry, end) = self.into_end();
        // The caller needs the ticket to resend the call, whatever the outcome.
        let end = RequestEnd {
            ticket: ticket.or(end.ticket),
            ..end
        };
        Answer {
            number: request.number,
            end,
            idempotency_key: request.idempotency_key.clone(),
            entry,
            attempts,
            prompt_tokens: request.prompt_tokens(),
            first_text_ms,
            total_ms: millis(Instant::now()),
            text: output.text,
        }
    }
}
