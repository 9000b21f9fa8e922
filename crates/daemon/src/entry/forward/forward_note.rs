use {crate::entry::http::RequestHead, serde::Deserialize, serde_json::json};

/// Name of the header. It goes from instance to instance only, and is passed on neither to targets nor to callers.
const NAME: &str = "Whinlatch-Forward";

/// Bytes of a header line beside name and value: colon, space, carriage return and line feed.
const SEPARATORS: usize = 4;

/// What an instance says of a request that it forwards to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ForwardNote {
    /// Run of the peer that is meant. Callers don't know it, so that they can't make up this header.
    pub run: u64,
    /// Version of the configuration by which the request was routed; an older one must not decide on it.
    pub version: u64,
    /// Service that was drawn from those of the route.
    pub service: String,
    /// Time since the first byte of the request was read, in ms.
    pub age_ms: u64,
    /// Number of times that the request was sent to a target, and counts as a retry.
    pub sends: u32,
    /// Number of targets that may have run it.
    pub runs: u32,
    /// Whether its caller has received a part of the stream already.
    pub is_resumed: bool,
}

impl ForwardNote {
    /// Limit for the length of the header, in bytes: seven numbers and the name of a service.
    pub const MAX_HEADER_BYTES: usize = 512;

    /// Reads the header of a request; `None` if there is none.
    ///
    /// # Errors
    /// The header can't be read, or there are several.
    pub fn read(head: &RequestHead) -> Result<Option<Self>, serde_json::Error> {
        let mut values = head.pairs().filter(|(name, _)| Self::is_name(name));
        let note = values
            .next()
            .map(|(_, value)| serde_json::from_str(value))
            .transpose()?;
        match values.next() {
            None => Ok(note),
            Some(_) => Err(serde::de::Error::custom("it is given more than once")),
        }
    }

    /// Formats the header line.
    pub fn line(&self) -> String {
        let Self {
            run,
            version,
            service,
            age_ms,
            sends,
            runs,
            is_resumed,
        } = self;
        let note = json!({
            "run": run, "version": version, "service": service, "age_ms": age_ms,
            "sends": sends, "runs": runs, "is_resumed": is_resumed,
        });
        format!("{NAME}: {note}\r\n")
    }

    /// Returns the length of the header in a head, in bytes, which doesn't count towards the limit for callers' heads.
    pub fn header_bytes(head: &RequestHead) -> usize {
        let own = head.pairs().find(|(name, _)| Self::is_name(name));
        let bytes = own.map_or(0, |(name, value)| name.len() + value.len() + SEPARATORS);
        bytes.min(Self::MAX_HEADER_BYTES)
    }

    /// Returns whether a header is this one.
    pub fn is_name(name: &str) -> bool {
        name.eq_ignore_ascii_case(NAME)
    }
}
