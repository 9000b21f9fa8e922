use super::HeadFault;

/// Limit for the number of headers.
pub const MAX_HEADERS: usize = 128;

/// Framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// A length in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection; only in answers.
    UntilClose,
}

impl Framing {
    /// Returns its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Path and query, byte for byte as sent.
    pub target: String,
    /// Names and trimmed values of the headers, in order.
    pub headers: Vec<(String, String)>,
    /// Framing of the body that follows.
    pub framing: Framing,
    /// Whether the connection stays open after the answer.
    pub keeps_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub waits_for_continue: bool,
}

impl RequestHead {
    /// Parses a complete head.
    ///
    /// # Errors
    /// [`HeadFault`]; the connection can't be used for another request.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadFault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) => return Err(HeadFault::Malformed("it is cut off")),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadFault::TooLarge),
            Err(_fault) => return Err(HeadFault::Malformed("it isn't HTTP/1.1")),
        }
        let headers = owned_headers(parsed.headers)?;
        let is_1_1 = parsed.version == Some(1);
        let target = parsed.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(HeadFault::Malformed("its path doesn't begin with a slash"));
        }
        if values(&headers, "host").count() != 1 {
            return Err(HeadFault::Malformed("it doesn't name one host"));
        }
        Ok(Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: target.to_owned(),
            framing: framing(&headers)?,
            keeps_alive: is_1_1 && !has_token(&headers, "connection", "close"),
            waits_for_continue: has_token(&headers, "expect", "100-continue"),
            headers,
        })
    }

    /// Returns the value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.pairs()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns names and values of the headers, in order.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> + Clone {
        self.headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// Copies headers; fails on a value that isn't UTF-8.
pub fn owned_headers(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, HeadFault> {
    headers
        .iter()
        .map(|header| {
            let value = std::str::from_utf8(header.value)
                .map_err(|_not_text| HeadFault::Malformed("a header isn't text"))?;
            Ok((header.name.to_owned(), value.trim().to_owned()))
        })
        .collect()
}

/// Returns the values of all headers with this name, in any case.
pub fn values<'a>(
    headers: &'a [(String, String)],
    name: &'a str,
) -> impl Iterator<Item = &'a str> + Clone {
    headers
        .iter()
        .filter(move |(header, _)| header.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// Returns whether a header that is a comma-separated list contains a token.
pub fn has_token(headers: &[(String, String)], name: &str, token: &str) -> bool {
    values(headers, name)
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Determines the framing of a request body. Contradictory headers are refused: the target could interpret
/// them differently and read a second request from the body (request smuggling).
fn framing(headers: &[(String, String)]) -> Result<Framing, HeadFault> {
    let mut codings = values(headers, "transfer-encoding");
    let mut lengths = values(headers, "content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Empty),
        (Some(coding), None) => {
            if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() {
                Ok(Framing::Chunked)
            } else {
                Err(HeadFault::Coding)
            }
        }
        (None, Some(length)) => {
            if lengths.any(|other| other != length) {
                return Err(HeadFault::Malformed("it gives two lengths"));
            }
            Ok(Framing::Length(parse_length(length)?))
        }
        (Some(_), Some(_)) => Err(HeadFault::Malformed("it gives a length and a coding")),
    }
}

/// Parses a length that consists of decimal digits only.
pub fn parse_length(text: &str) -> Result<u64, HeadFault> {
    let fault = HeadFault::Malformed("its length isn't a number");
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(fault);
    }
    text.parse().map_err(|_too_long| fault)
}
