use {
    super::{
        answer::{BAD_ANSWER, RequestEnd},
        output::Output,
    },
    crate::{
        errors::CliError,
        http::{Event, EventReader, ExchangeError, read_text},
    },
    http_types::Response,
    whinlatch_wire::{
        caller::{
            CompletionChunk, OUTCOME_HEADER, Outcome, OutcomeKind, REASON_HEADER, REQUEST_HEADER,
        },
        ids::RequestId,
    },
};

const OK: u16 = 200;
/// Name of the server-sent event that carries the outcome and ends a streamed answer.
const OUTCOME_EVENT: &str = "outcome";

/// Result of sending a request to one entry.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// No connection was opened, so nothing was sent.
    NotConnected,
    /// The request was sent, but the answer is incomplete or invalid; the text describes the fault.
    Broken(String),
    /// The entry reported an outcome.
    Ended(RequestEnd),
}

impl From<ExchangeError> for AttemptResult {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotConnected(_) => Self::NotConnected,
            ExchangeError::Broken(detail) => Self::Broken(detail),
        }
    }
}

/// Reads the streamed answer to a prompt: text events, followed by the outcome event.
pub(super) async fn read_stream(
    mut response: Response,
    output: &mut Output<'_>,
) -> Result<AttemptResult, CliError> {
    if u16::from(response.status()) != OK {
        return Ok(read_refusal(response).await);
    }
    let mut events = EventReader::new(response.take_body().into_reader());
    let mut stream_request = None;
    loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return Ok(broken("the stream ended before the outcome event")),
            Err(error) => return Ok(broken(&error.to_string())),
        };
        match parse_event(&event) {
            Some(StreamEvent::Outcome(outcome))
                if matches_stream(&mut stream_request, outcome.request) =>
            {
                return Ok(AttemptResult::Ended(RequestEnd::from(*outcome)));
            }
            Some(StreamEvent::Text { id, text }) if matches_stream(&mut stream_request, id) => {
                output.push(&text)?;
            }
            // Parts of two answers joined together would look like one complete answer, so the attempt
            // ends here, wherever they were mixed up.
            Some(_) => return Ok(broken("received an event that belongs to another request")),
            None => return Ok(broken("received an event that can't be parsed")),
        }
    }
}

enum StreamEvent {
    Text { id: RequestId, text: String },
    Outcome(Box<Outcome>),
}

fn parse_event(event: &Event) -> Option<StreamEvent> {
    if event.name == OUTCOME_EVENT {
        return serde_json::from_str(&event.data)
            .ok()
            .map(|outcome| StreamEvent::Outcome(Box::new(outcome)));
    }
    let chunk: CompletionChunk = serde_json::from_str(&event.data).ok()?;
    let text = chunk
        .choices
        .into_iter()
        .map(|choice| choice.text)
        .collect();
    Some(StreamEvent::Text { id: chunk.id, text })
}

/// Returns true if an event belongs to the same request as the earlier events of the stream.
fn matches_stream(stream_request: &mut Option<RequestId>, id: RequestId) -> bool {
    *stream_request.get_or_insert(id) == id
}

/// Reads the answer of a plain service. An error status of the service itself is a completed answer too.
pub(super) async fn read_call(
    response: Response,
    output: &mut Output<'_>,
) -> Result<AttemptResult, CliError> {
    if outcome_from_headers(&response) != Some(OutcomeKind::Completed) {
        return Ok(read_refusal(response).await);
    }
    let mut response = response;
    let end = end_from_headers(&response, OutcomeKind::Completed);
    match read_text(response.take_body()).await {
        Ok(text) => {
            output.push(&text)?;
            Ok(AttemptResult::Ended(end))
        }
        Err(error) => Ok(error.into()),
    }
}

/// Reads an answer that consists of an outcome alone, in its body or its headers.
async fn read_refusal(mut response: Response) -> AttemptResult {
    let text = match read_text(response.take_body()).await {
        Ok(text) => text,
        Err(error) => return error.into(),
    };
    if let Ok(outcome) = serde_json::from_str::<Outcome>(&text) {
        return AttemptResult::Ended(outcome.into());
    }
    if let Some(kind) = outcome_from_headers(&response) {
        return AttemptResult::Ended(end_from_headers(&response, kind));
    }
    let status = u16::from(response.status());
    let message =
        format!("status {status} without an outcome: check that the entry is a whinlatch daemon");
    AttemptResult::Ended(RequestEnd::local(
        OutcomeKind::Unknown,
        BAD_ANSWER,
        &message,
    ))
}

fn outcome_from_headers(response: &Response) -> Option<OutcomeKind> {
    let text = response.header(OUTCOME_HEADER)?.last().as_str();
    serde_json::from_value(text.into()).ok()
}

fn end_from_headers(response: &Response, outcome: OutcomeKind) -> RequestEnd {
    let header = |name| response.header(name).map(|values| values.last().as_str());
    let reason = header(REASON_HEADER).unwrap_or_default();
    let request = header(REQUEST_HEADER).and_then(|text| text.parse().ok());
    RequestEnd {
        request,
        ..RequestEnd::local(outcome, reason, "")
    }
}

fn broken(detail: &str) -> AttemptResult {
    AttemptResult::Broken(detail.to_owned())
}
