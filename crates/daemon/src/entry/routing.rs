//! Where a request goes: its route, account and service.

use {
    super::{
        entry_state::EntryState,
        http::RequestHead,
        request_context::{ReadRequest, RequestContext},
    },
    std::sync::Arc,
    whinlatch_platform::CallerHead,
    whinlatch_serving::catalog::RouteError,
    xxhash_rust::xxh3::Xxh3,
};

/// Deadline of a caller that names none, in ms.
pub const ASSUMED_DEADLINE_MS: u64 = 30_000;
/// Share of the time left after which a refused caller may come back at the latest; callers don't
/// wait longer than a third.
pub const MOST_RETRY_SHARE: u64 = 3;
/// Shortest time that is told to a caller who may come back, in ms: about that in which an instance reads
/// what is published.
const LEAST_RETRY_MS: u64 = 300;

/// Why a request goes nowhere, as its caller is told.
#[derive(Debug)]
pub struct Unrouted {
    /// Status of the answer.
    pub status: u16,
    /// Why, for the caller and the log.
    pub message: String,
    /// When the caller may come back, in ms, if that is of use.
    pub retry_after_ms: Option<u64>,
}

/// Finds route, account and service.
///
/// # Errors
/// [`Unrouted`]; the request has not been sent.
pub fn route(
    state: &EntryState,
    request: ReadRequest,
    caller: CallerHead,
) -> Result<RequestContext, Unrouted> {
    let deadline_ms = caller.deadline_ms.unwrap_or(ASSUMED_DEADLINE_MS);
    let mut serving = state.serving();
    let Some(configuration) = serving.configuration().map(Arc::clone) else {
        return Err(Unrouted {
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
    let route = configuration.route(host, &head.target).map_err(refusal)?;
    let account = configuration
        .account(route, caller.key.as_deref())
        .map_err(refusal)?
        .map(|(name, _priority)| name.clone());
    let service = route
        .draw_service(fastrand::f64())
        .cloned()
        .ok_or_else(|| Unrouted {
            status: 503,
            message: "the route leads to no service: come back".to_owned(),
            retry_after_ms: Some(LEAST_RETRY_MS),
        })?;
    serving.record_arrival(state.now(), &service);
    Ok(RequestContext {
        fingerprint: fingerprint(account.as_deref(), &head, &body),
        due: arrived + deadline_ms.min(route.timeout_ms),
        route: Arc::clone(route),
        service,
        account,
        version: configuration.version,
        head,
        body,
        caller,
        arrived,
    })
}

fn refusal(refused: RouteError) -> Unrouted {
    let status = match refused {
        RouteError::NoRoute => 404,
        RouteError::UnknownKey => 401,
    };
    Unrouted {
        status,
        message: refused.to_string(),
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

/// When a caller is to come back while there is no configuration, in ms: a store that has been away
/// for so long is likely to be away as long again, and its callers have few tries.
fn unready_retry_ms(state: &EntryState, deadline_ms: u64) -> u64 {
    let without_ms = state.now().since(state.started_at);
    let most_ms = deadline_ms / MOST_RETRY_SHARE;
    without_ms.max(LEAST_RETRY_MS).min(most_ms)
}
