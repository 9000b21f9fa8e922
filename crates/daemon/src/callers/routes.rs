use {
    super::{
        answer::Answer,
        exchange, pages,
        refusal::Refusal,
        submission::{ParsedRequest, parse_call, parse_completion},
    },
    crate::shared::Shared,
    async_channel::Receiver,
    http_types::{Method, Request},
    std::sync::Arc,
    whinlatch_wire::caller::{
        COMPLETIONS_PATH, DECISIONS_PREFIX, ENTRIES_PATH, METRICS_PATH, RECORDS_REPORT_PATH,
        Reason, SERVICES_PREFIX, STATUS_PATH,
    },
};

/// The answer to a request, or the channel on which it arrives.
#[derive(Debug)]
pub enum Routed {
    /// An answer that is available immediately.
    Immediate(Answer),
    /// An answer that an exchange sends once the request has been processed.
    Pending(Receiver<Answer>),
}

/// Dispatches a request by its method and path.
pub async fn route(shared: &Arc<Shared>, request: &Request, body: Vec<u8>) -> Routed {
    let path = request.url().path();
    match (request.method(), path) {
        (Method::Post, COMPLETIONS_PATH) => begin(shared, parse_completion(request, &body)),
        (Method::Get, ENTRIES_PATH) => Routed::Immediate(pages::entries(shared).await),
        (Method::Get, STATUS_PATH) => Routed::Immediate(pages::status(shared).await),
        (Method::Get, RECORDS_REPORT_PATH) => Routed::Immediate(pages::records(shared).await),
        (Method::Get, METRICS_PATH) => Routed::Immediate(pages::metrics(shared)),
        (method, _) => {
            if let Some(service) = path.strip_prefix(SERVICES_PREFIX) {
                return match method {
                    Method::Post => begin(shared, parse_call(request, service, body)),
                    _ => refuse(wrong_method()),
                };
            }
            if let Some(id) = path.strip_prefix(DECISIONS_PREFIX)
                && method == Method::Get
            {
                return Routed::Immediate(pages::decisions(shared, id).await);
            }
            refuse(unknown_path(path))
        }
    }
}

fn begin(shared: &Arc<Shared>, parsed: Result<ParsedRequest, Refusal>) -> Routed {
    match parsed {
        Ok(request) => Routed::Pending(exchange::begin(Arc::clone(shared), request)),
        Err(refusal) => refuse(refusal),
    }
}

fn refuse(refusal: Refusal) -> Routed {
    Routed::Immediate(Answer::Ended(refusal))
}

fn wrong_method() -> Refusal {
    let message = "this path requires another method: POST completions and services, GET the rest";
    Refusal::with_status(405, Reason::BadRequest, message)
}

fn unknown_path(path: &str) -> Refusal {
    const KNOWN: [&str; 5] = [
        COMPLETIONS_PATH,
        ENTRIES_PATH,
        STATUS_PATH,
        RECORDS_REPORT_PATH,
        METRICS_PATH,
    ];
    if KNOWN.contains(&path) {
        return wrong_method();
    }
    let message = format!(
        "this path is unknown: use {} or {SERVICES_PREFIX}NAME",
        KNOWN.join(", ")
    );
    Refusal::with_status(404, Reason::BadRequest, message)
}
