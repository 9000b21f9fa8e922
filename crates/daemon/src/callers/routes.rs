use {
    super::{
        answer::Answer,
        exchange, pages,
        refusal::Refusal,
        submission::{Read, read_call, read_completion},
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

/// What a request leads to.
#[derive(Debug)]
pub enum Routed {
    /// An answer at once.
    Now(Answer),
    /// An answer that comes from an exchange.
    Later(Receiver<Answer>),
}

/// Finds out what a request asks for and begins it.
pub async fn route(shared: &Arc<Shared>, request: &Request, body: Vec<u8>) -> Routed {
    let path = request.url().path();
    match (request.method(), path) {
        (Method::Post, COMPLETIONS_PATH) => begin(shared, read_completion(request, &body)),
        (Method::Get, ENTRIES_PATH) => Routed::Now(pages::entries(shared).await),
        (Method::Get, STATUS_PATH) => Routed::Now(pages::status(shared).await),
        (Method::Get, RECORDS_REPORT_PATH) => Routed::Now(pages::records(shared).await),
        (Method::Get, METRICS_PATH) => Routed::Now(pages::metrics(shared)),
        (method, _) => {
            if let Some(service) = path.strip_prefix(SERVICES_PREFIX) {
                return match method {
                    Method::Post => begin(shared, read_call(request, service, body)),
                    _ => refuse(wrong_method()),
                };
            }
            if let Some(id) = path.strip_prefix(DECISIONS_PREFIX)
                && method == Method::Get
            {
                return Routed::Now(pages::decisions(shared, id).await);
            }
            refuse(unknown_path(path))
        }
    }
}

fn begin(shared: &Arc<Shared>, read: Result<Read, Refusal>) -> Routed {
    match read {
        Ok(read) => Routed::Later(exchange::begin(Arc::clone(shared), read)),
        Err(refusal) => refuse(refusal),
    }
}

fn refuse(refusal: Refusal) -> Routed {
    Routed::Now(Answer::Ended(refusal))
}

fn wrong_method() -> Refusal {
    let message = "this path takes another method: POST completions and services, GET the rest";
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
        "there is nothing at this path: use {} or {SERVICES_PREFIX}NAME",
        KNOWN.join(", ")
    );
    Refusal::with_status(404, Reason::BadRequest, message)
}
