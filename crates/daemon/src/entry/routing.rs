//! Finds the route, client account and service of a request.

use {
    super::{
        entry_state::EntryState,
        forward::ForwardNote,
        http::RequestHead,
        request_context::{ReadRequest, RequestContext, TimeLimit},
    },
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_platform::CallerHead,
    whinlatch_serving::catalog::{Configuration, RetryPolicy, Route, RouteError},
    xxhash_rust::xxh3::Xxh3,
};

/// Deadline of a request whose caller sends none, in ms.
pub const ASSUMED_DEADLINE_MS: u64 = 30_000;
/// A `Retry-After` is limited to the request's deadline divided by this: callers don't wait longer than a third of
/// their deadline.
pub const RETRY_AFTER_DIVISOR: u64 = 3;
/// Shortest `Retry-After` without a configuration or service, in ms: about the time in which an instance reads
/// the store.
const MIN_RETRY_AFTER_MS: u64 = 300;

/// Error answer to a request that can't be routed.
#[derive(Debug)]
pub struct RoutingRejection {
    /// Status of the answer.
    pub status: u16,
    /// Message for the caller and the log.
    pub message: String,
    /// Time after which the caller may retry, in ms; `None` if a retry wouldn't help.
    pub retry_after_ms: Option<u64>,
}

/// A forwarded request is ended this long before its deadline, in ms, so that the error reaches the forwarding instance
/// before that one ends it.
const FORWARD_MARGIN_MS: u64 = 20;

/// Finds route, account and service, and counts the request's arrival at the service. A request that a peer has
/// forwarded was counted there, and has its service already.
///
/// # Errors
/// [`RoutingRejection`]; the request has not been sent.
pub fn route(
    state: &EntryState,
    request: ReadRequest,
    caller: CallerHead,
    forwarded: Option<ForwardNote>,
) -> Result<RequestContext, RoutingRejection> {
    let deadline_ms = caller.deadline_ms.unwrap_or(ASSUMED_DEADLINE_MS);
    let mut serving = state.serving();
    let Some(configuration) = serving.configuration().map(Arc::clone) else {
        return Err(RoutingRejection {
            status: 503,
            message: "this instance has no configuration yet: come back".to_owned(),
            retry_after_ms: Some(unready_retry_ms(state, deadline_ms)),
        });
    };
    let ReadRequest {
        head,
        body,
        arrived,
    } = request;
    let host = head.header("host").unwrap_or_default();
    let route = configuration.route(host, &head.target).map_err(rejection)?;
    let known = configuration
        .account(route, caller.key.as_deref())
        .map_err(rejection)?;
    let account = known.map(|(name, _priority)| name.clone());
    let priority = known.and_then(|(_name, priority)| priority);
    let resumes_after = resumes_after(&caller, route)?;
    let service = forwarded
        .as_ref()
        .and_then(|note| route.service(&note.service))
        .or_else(|| route.draw_service(fastrand::f64()))
        .cloned()
        .ok_or_else(|| RoutingRejection {
            status: 503,
            message: "the route leads to no service: come back".to_owned(),
            retry_after_ms: Some(MIN_RETRY_AFTER_MS),
        })?;
    let time_ms = deadline_ms.min(route.timeout_ms);
    let time_limit = if route.timeout_ms < deadline_ms {
        TimeLimit::RouteTimeout
    } else {
        TimeLimit::CallerDeadline
    };
    let (arrived, time_ms) = if let Some(note) = &forwarded {
        let arrived = MonoMs(arrived.0.saturating_sub(note.age_ms));
        (arrived, time_ms.saturating_sub(FORWARD_MARGIN_MS))
    } else {
        serving.record_arrival(state.now(), &service);
        (arrived, time_ms)
    };
    Ok(RequestContext {
        fingerprint: fingerprint(account.as_deref(), &head, &body),
        deadline: arrived + time_ms,
        time_limit,
        route: Arc::clone(route),
        has_engines: has_engines(&configuration, &service),
        service,
        account,
        priority: priority.unwrap_or(route.priority),
        version: configuration.version,
        head,
        body,
        caller,
        arrived,
        resumes_after,
        forwarded,
    })
}

/// Returns the event after which the caller resumes a stream that may be resumed. On other routes, what it names is for
/// the target alone.
fn resumes_after(caller: &CallerHead, route: &Route) -> Result<Option<u64>, RoutingRejection> {
    if route.retry_policy != RetryPolicy::ResumableStream {
        return Ok(None);
    }
    caller
        .last_event_number()
        .map_err(|fault| RoutingRejection {
            status: 400,
            message: fault.to_string(),
            retry_after_ms: None,
        })
}

fn has_engines(configuration: &Configuration, service: &str) -> bool {
    let known = configuration.service(service);
    known.is_some_and(|service| service.engine.is_some())
}

fn rejection(error: RouteError) -> RoutingRejection {
    let status = match error {
        RouteError::NoRoute => 404,
        RouteError::UnknownKey => 401,
    };
    RoutingRejection {
        status,
        message: error.to_string(),
        retry_after_ms: None,
    }
}

fn fingerprint(account: Option<&str>, head: &RequestHead, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(account.unwrap_or_default().as_bytes());
    hasher.update(&[0]);
    hasher.update(head.target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

/// Time after which a caller may retry while there is no configuration, in ms. It grows with the time since
/// the start, since a store that has been unreachable for long is likely to stay so for as long again, and
/// callers have few retries.
fn unready_retry_ms(state: &EntryState, deadline_ms: u64) -> u64 {
    let unready_ms = state.now().since(state.started_at);
    let max_ms = deadline_ms / RETRY_AFTER_DIVISOR;
    unready_ms.max(MIN_RETRY_AFTER_MS).min(max_ms)
}
