use crate::names::ServiceName;

/// Which requests of a route may be sent again, and whether they are answered by a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Idempotent request: may run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Stream that another target may resume after the last delivered event.
    ResumableStream,
    /// Stream that may run at most once.
    AtMostOnceStream,
}

impl RetryPolicy {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::AtMostOnceStream)
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service's share of the traffic of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// A published route from host and path to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name to match.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: String,
    /// Which requests may be sent again.
    pub retry_policy: RetryPolicy,
    /// Maximum time that a request is kept, in ms.
    pub timeout_ms: u64,
    /// Time within which a response, or the first event of a stream, is on time, in ms.
    pub objective_ms: u64,
    /// Priority of its requests, 0 first, unless the account has one of its own.
    pub priority: u8,
    /// Services among which the traffic is divided.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Longest pause between events with which a stream is on time, in ms.
    pub pause_limit_ms: Option<u64>,
    /// Pause after which callers abandon a stream, in ms; applies before the first event too.
    pub patience_ms: u64,
}

impl Route {
    /// Returns the service of this name, if the route leads to it.
    pub fn service(&self, name: &str) -> Option<&ServiceName> {
        let mut services = self.shares.iter().map(|share| &share.service);
        services.find(|service| &***service == name)
    }

    /// Draws one of the services by weight; `draw` is a random number between 0 and 1. Returns `None` if
    /// there are none.
    pub fn draw_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}
