use {
    super::{
        answer::{BAD_ANSWER, End},
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
/// Name of the event that ends a streamed answer.
const OUTCOME_EVENT: &str = "outcome";

/// What came of sending a request to one entry.
#[derive(Debug)]
pub(super) enum Attempt {
    /// Nothing was sent.
    NotConnected,
    /// It was sent, and the answer broke off or is not whole.
    Broken(String),
    /// The entry ended it.
    Ended(End),
}

impl From<ExchangeError> for Attempt {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotConnected(_) => Self::NotConnected,
            ExchangeError::Broken(detail) => Self::Broken(detail),
        }
    }
}

/// Reads the answer to a prompt: events, the last of them the outcome.
pub(super) async fn read_stream(
    mut response: Response,
    output: &mut Output<'_>,
) -> Result<Attempt, CliError> {
    if u16::from(response.status()) != OK {
        return Ok(read_refusal(response).await);
    }
    let mut events = EventReader::new(response.take_body().into_reader());
    let mut answered = None;
    loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return Ok(broken("the answer ended before its outcome")),
            Err(error) => return Ok(broken(&error.to_string())),
        };
        match read_event(&event) {
            Some(Part::End(outcome)) if is_same(&mut answered, outcome.request) => {
                return Ok(Attempt::Ended(End::from(*outcome)));
            }
            Some(Part::Text { id, text }) if is_same(&mut answered, id) => output.take(&text)?,
            // Half an answer joined to half of another would look whole; whoever mixed them up,
            // neither is printed further.
            Some(_) => return Ok(broken("a part of another request's answer came")),
            None => return Ok(broken("an event can't be understood")),
        }
    }
}

enum Part {
    Text { id: RequestId, text: String },
    End(Box<Outcome>),
}

fn read_event(event: &Event) -> Option<Part> {
    if event.name == OUTCOME_EVENT {
        return serde_json::from_str(&event.data)
            .ok()
            .map(|end| Part::End(Box::new(end)));
    }
    let chunk: CompletionChunk = serde_json::from_str(&event.data).ok()?;
    let text = chunk
        .choices
        .into_iter()
        .map(|choice| choice.text)
        .collect();
    Some(Part::Text { id: chunk.id, text })
}

/// Whether a part belongs to the request whose parts came before.
fn is_same(answered: &mut Option<RequestId>, id: RequestId) -> bool {
    *answered.get_or_insert(id) == id
}

/// Reads the answer of a plain service. The service's own failures are completed answers too.
pub(super) async fn read_call(
    response: Response,
    output: &mut Output<'_>,
) -> Result<Attempt, CliError> {
    if outcome_of(&response) != Some(OutcomeKind::Completed) {
        return Ok(read_refusal(response).await);
    }
    let mut response = response;
    let end = end_of_headers(&response, OutcomeKind::Completed);
    match read_text(response.take_body()).await {
        Ok(text) => {
            output.take(&text)?;
            Ok(Attempt::Ended(end))
        }
        Err(error) => Ok(error.into()),
    }
}

/// Reads an answer that is an outcome and nothing else.
async fn read_refusal(mut response: Response) -> Attempt {
    let text = match read_text(response.take_body()).await {
        Ok(text) => text,
        Err(error) => return error.into(),
    };
    if let Ok(outcome) = serde_json::from_str::<Outcome>(&text) {
        return Attempt::Ended(outcome.into());
    }
    if let Some(kind) = outcome_of(&response) {
        return Attempt::Ended(end_of_headers(&response, kind));
    }
    let status = u16::from(response.status());
    let message = format!("status {status} without an outcome: check that this is whinlatch");
    Attempt::Ended(End::own(OutcomeKind::Unknown, BAD_ANSWER, &message))
}

fn outcome_of(response: &Response) -> Option<OutcomeKind> {
    let text = response.header(OUTCOME_HEADER)?.last().as_str();
    serde_json::from_value(text.into()).ok()
}

fn end_of_headers(response: &Response, outcome: OutcomeKind) -> End {
    let header = |name| response.header(name).map(|values| values.last().as_str());
    let reason = header(REASON_HEADER).unwrap_or_default();
    let request = header(REQUEST_HEADER).and_then(|text| text.parse().ok());
    End {
        request,
        ..End::own(outcome, reason, "")
    }
}

fn broken(detail: &str) -> Attempt {
    Attempt::Broken(detail.to_owned())
}
