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

/// A request that was read whole.
#[derive(Debug)]
pub struct ReadRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub arrived: MonoMs,
}

/// A caller's request that was read whole and found its route.
#[derive(Debug)]
pub struct RequestContext {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// What its headers say.
    pub caller: CallerHead,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that was drawn for it.
    pub service: ServiceName,
    /// Its client account.
    pub account: Option<AccountName>,
    /// Version of the configuration by which it was routed.
    pub version: u64,
    /// When its first byte was read.
    pub arrived: MonoMs,
    /// When it must be answered.
    pub due: MonoMs,
    /// Hash of account, path and body.
    pub fingerprint: Fingerprint,
}

impl RequestContext {
    /// The fingerprint for the log; `None` of a request without a body, which is like others.
    pub fn fingerprint_text(&self) -> Option<String> {
        (!self.body.is_empty()).then(|| format!("{:016x}", self.fingerprint))
    }

    /// The request as a target gets it: the caller's method, path, headers and body, and what this
    /// system sets.
    pub fn for_target(&self, own: &TargetHead<'_>) -> Vec<u8> {
        let mut text = String::with_capacity(1_024);
        // Writing to a string never fails.
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
