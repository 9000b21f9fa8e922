use super::{
    Framing, HeadFault,
    request_head::{MAX_HEADERS, has_token, owned_headers, parse_length, values},
};

/// Lowest status of a success; those below are interim answers.
const OK: u16 = 200;
/// Statuses of answers without a body.
const NO_BODY: [u16; 2] = [204, 304];
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Names and trimmed values of the headers, in order.
    pub headers: Vec<(String, String)>,
    /// Framing of the body that follows.
    pub framing: Framing,
    /// Whether the connection stays open after the answer.
    pub keeps_alive: bool,
    /// Timeout of the `Keep-Alive` header, in ms, if the target sends one.
    pub keep_alive_ms: Option<u64>,
}

impl ResponseHead {
    /// Parses a complete head. `method` is that of the request, since answers to HEAD have no body.
    ///
    /// # Errors
    /// [`HeadFault`]; the connection can't be used any more.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Self, HeadFault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) | Err(_) => {
                return Err(HeadFault::Malformed("it isn't an answer in HTTP/1.1"));
            }
        }
        let headers = owned_headers(parsed.headers)?;
        let status = parsed.code.unwrap_or_default();
        let is_1_1 = parsed.version == Some(1);
        Ok(Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            framing: framing(&headers, status, method)?,
            keeps_alive: is_1_1 && !has_token(&headers, "connection", "close"),
            keep_alive_ms: keep_alive_ms(&headers),
            headers,
        })
    }

    /// Returns whether it is an interim answer (1xx), which the final one follows.
    pub fn is_interim(&self) -> bool {
        self.status < OK
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (OK..300).contains(&self.status)
    }

    /// Returns whether the body is declared as a stream of server-sent events; `None` if its type isn't declared.
    pub fn is_event_stream(&self) -> Option<bool> {
        let value = values(&self.headers, "content-type").next()?;
        let media_type = value.split(';').next()?;
        Some(media_type.trim().eq_ignore_ascii_case("text/event-stream"))
    }

    /// Returns whether nothing but the end of its connection could tell that the answer is complete, and nothing
    /// of a body came before it.
    pub fn ends_without_sign(&self, body_is_empty: bool) -> bool {
        self.is_success() && self.framing == Framing::UntilClose && body_is_empty
    }

    /// Returns names and values of the headers, in order.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> + Clone {
        self.headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

fn framing(headers: &[(String, String)], status: u16, method: &str) -> Result<Framing, HeadFault> {
    if status < OK || NO_BODY.contains(&status) || method == "HEAD" {
        return Ok(Framing::Empty);
    }
    let mut lengths = values(headers, "content-length");
    if values(headers, "transfer-encoding").next().is_some() {
        return if has_token(headers, "transfer-encoding", "chunked") {
            Ok(Framing::Chunked)
        } else {
            Err(HeadFault::Coding)
        };
    }
    match lengths.next() {
        Some(length) if lengths.all(|other| other == length) => {
            Ok(Framing::Length(parse_length(length)?))
        }
        Some(_) => Err(HeadFault::Malformed("it gives two lengths")),
        None => Ok(Framing::UntilClose),
    }
}

fn keep_alive_ms(headers: &[(String, String)]) -> Option<u64> {
    values(headers, "keep-alive")
        .flat_map(|value| value.split(','))
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|seconds| seconds.parse::<u64>().ok())
        .map(|seconds| seconds * MS_PER_S)
}
