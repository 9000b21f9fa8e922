use {
    super::{answer::Answer, refusal::Refusal},
    crate::{control::ControlGone, shared::Shared},
    serde::Serialize,
    whinlatch_wire::{caller::Reason, ids::RequestId},
};

const JSON: &str = "application/json";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4";

/// The addresses that callers may use.
pub async fn entries(shared: &Shared) -> Answer {
    page(shared.control.entries().await)
}

/// The state of the daemon.
pub async fn status(shared: &Shared) -> Answer {
    page(shared.control.status().await)
}

/// The records and where they are in force.
pub async fn records(shared: &Shared) -> Answer {
    page(shared.control.records().await)
}

/// Why a request went where it did.
pub async fn decisions(shared: &Shared, request: &str) -> Answer {
    let request: RequestId = match request.parse() {
        Ok(request) => request,
        Err(error) => {
            let refusal = Refusal::new(Reason::BadRequest, error.to_string());
            return Answer::Ended(refusal);
        }
    };
    match shared.control.decisions(request).await {
        Ok(None) => {
            let message = "nothing is kept of this request here: ask the entry that took it, soon";
            Answer::Ended(Refusal::with_status(404, Reason::BadRequest, message))
        }
        found => page(found),
    }
}

/// The metrics.
pub fn metrics(shared: &Shared) -> Answer {
    match shared.metrics.render() {
        Ok(body) => Answer::Page {
            status: 200,
            media: PROMETHEUS_TEXT,
            body,
        },
        Err(error) => failed(&error.to_string()),
    }
}

fn page<T: Serialize>(content: Result<T, ControlGone>) -> Answer {
    let content = match content {
        Ok(content) => content,
        Err(gone) => {
            let refusal = Refusal::new(Reason::Leaving, gone.to_string()).retry_after_ms(0);
            return Answer::Ended(refusal);
        }
    };
    match serde_json::to_vec(&content) {
        Ok(body) => Answer::Page {
            status: 200,
            media: JSON,
            body,
        },
        Err(error) => failed(&error.to_string()),
    }
}

fn failed(detail: &str) -> Answer {
    Answer::Page {
        status: 500,
        media: "text/plain",
        body: detail.as_bytes().to_vec(),
    }
}
