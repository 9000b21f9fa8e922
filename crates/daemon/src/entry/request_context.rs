use {
    super::{
        forward::ForwardNote,
        http::{Framing, RequestHead},
    },
    std::{borrow::Cow, fmt::Write, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::{
        CallerHead, TargetHead, is_forwarded_to_peer, is_forwarded_to_target, write_last_event_id,
        write_target_head,
    },
    whinlatch_serving::{
        catalog::Route,
        names::{AccountName, ServiceName},
        retries::Fingerprint,
    },
};

/// A caller's request that has been read completely.
#[derive(Debug)]
pub struct ReadRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub arrived: MonoMs,
}

/// What limits the time for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeLimit {
    /// The deadline that the caller sent, or the one that is assumed if it sent none.
    CallerDeadline,
    /// The timeout of the route.
    RouteTimeout,
}

impl TimeLimit {
    /// Value of `time_limit` in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::CallerDeadline => "caller_deadline",
            Self::RouteTimeout => "route_timeout",
        }
    }
}

/// A caller's request with its route.
#[derive(Debug)]
pub struct RequestContext {
    /// Request line and headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: Vec<u8>,
    /// Values of its headers that are meant for this system, such as deadline and prompt size.
    pub caller: CallerHead,
    /// Route that matches its path.
    pub route: Arc<Route>,
    /// Service that was drawn from those of the route.
    pub service: ServiceName,
    /// Whether the targets of the service are model engines.
    pub has_engines: bool,
    /// Its client account; `None` on a route that needs no key.
    pub account: Option<AccountName>,
    /// Its priority, 0 first: that of its account, or of its route if the account has none.
    pub priority: u8,
    /// Version of the configuration by which it was routed.
    pub version: u64,
    /// When its first byte was read.
    pub arrived: MonoMs,
    /// Deadline for the end of its answer.
    pub deadline: MonoMs,
    /// What the deadline follows from.
    pub time_limit: TimeLimit,
    /// Hash of account, path and body, the same for all retries of a request.
    pub fingerprint: Fingerprint,
    /// Event after which its stream goes on; `None` if it begins with the first one, or may not be resumed.
    pub resumes_after: Option<u64>,
    /// What the peer says of it that has forwarded it; `None` if it came from its caller.
    pub forwarded: Option<ForwardNote>,
}

impl RequestContext {
    /// Returns how many targets may have run the request before it came to this instance.
    pub fn runs_before(&self) -> u32 {
        self.forwarded.as_ref().map_or(0, |note| note.runs)
    }

    /// Returns the fingerprint for the log; `None` without a body, since then it is shared with other requests.
    pub fn fingerprint_text(&self) -> Option<String> {
        (!self.body.is_empty()).then(|| format!("{:016x}", self.fingerprint))
    }

    /// Returns the ids of the parts of the prompt that other prompts may share, for the log.
    pub fn part_texts(&self) -> Vec<String> {
        let parts = self.caller.shared_parts.iter();
        parts.map(ToString::to_string).collect()
    }

    /// Returns the last event of the stream for the next attempt: the one that was received, or else the one that the
    /// caller names.
    pub fn last_event_id(&self, received: Option<u64>) -> Option<Cow<'_, str>> {
        let named = self.caller.last_event_id.as_deref();
        received
            .map(|id| id.to_string().into())
            .or(named.map(Cow::from))
    }

    /// Returns the bytes of the request to a target: the caller's method, path, headers and body, and the
    /// headers that this system adds.
    pub fn for_target(&self, own: &TargetHead<'_>) -> Vec<u8> {
        let mut own_lines = String::new();
        write_target_head(own, &mut own_lines);
        let is_passed_on = |name: &str| is_forwarded_to_target(name) && !ForwardNote::is_name(name);
        self.bytes(is_passed_on, &own_lines)
    }

    /// Returns the bytes of the request to a peer that is to serve it: as its caller sent it, with a note and the last
    /// event that was received, if there is one.
    pub fn for_peer(&self, note: &ForwardNote, received: Option<u64>) -> Vec<u8> {
        let mut own_lines = note.line();
        if let Some(id) = self.last_event_id(received) {
            write_last_event_id(&id, &mut own_lines);
        }
        let is_passed_on = |name: &str| is_forwarded_to_peer(name) && !ForwardNote::is_name(name);
        self.bytes(is_passed_on, &own_lines)
    }

    /// Returns the bytes of the request with those of the caller's headers that are passed on, and own header lines.
    fn bytes(&self, is_passed_on: impl Fn(&str) -> bool, own_lines: &str) -> Vec<u8> {
        let mut text = String::with_capacity(1_024);
        // Writing to a String can't fail.
        let _written = write!(
            text,
            "{} {} HTTP/1.1\r\n",
            self.head.method, self.head.target
        );
        for (name, value) in self.head.pairs().filter(|(name, _)| is_passed_on(name)) {
            let _written = write!(text, "{name}: {value}\r\n");
        }
        text.push_str(own_lines);
        if !self.body.is_empty() || self.head.framing != Framing::Empty {
            let _written = write!(text, "Content-Length: {}\r\n", self.body.len());
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
