use {
    super::http::RequestHead,
    std::{fmt::Write, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::{CallerHead, TargetHead, is_forwarded_to_target, write_target_head},
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
    /// Hash of account, path and body, the same for all retries of a request.
    pub fingerprint: Fingerprint,
}

impl RequestContext {
    /// Returns the fingerprint for the log; `None` without a body, since then it is shared with other requests.
    pub fn fingerprint_text(&self) -> Option<String> {
        (!self.body.is_empty()).then(|| format!("{:016x}", self.fingerprint))
    }

    /// Returns the bytes of the request to a target: the caller's method, path, headers and body, and the
    /// headers that this system adds.
    pub fn for_target(&self, own: &TargetHead<'_>) -> Vec<u8> {
        let mut text = String::with_capacity(1_024);
        // Writing to a String can't fail.
        let _written = write!(
            text,
            "{} {} HTTP/1.1\r\n",
            self.head.method, self.head.target
        );
        for (name, value) in self
            .head
            .pairs()
            .filter(|(name, _)| is_forwarded_to_target(name))
        {
            let _written = write!(text, "{name}: {value}\r\n");
        }
        write_target_head(own, &mut text);
        if !self.body.is_empty() || self.head.framing != super::http::Framing::Empty {
            let _written = write!(text, "Content-Length: {}\r\n", self.body.len());
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
