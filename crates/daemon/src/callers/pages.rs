use {
    super::{answer::Answer, refusal::Refusal},
    crate::{control::ControlStopped, shared::Shared},
    serde::Serialize,
    whinlatch_wire::{caller::Reason, ids::RequestId},
};

/// Media type of JSON pages.
const JSON: &str = "application/json";
/// Media type of the Prometheus text format.
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4";

/// Returns the addresses that callers may use.
pub async fn entries(shared: &Shared) -> Answer {
    page(shared.control.entries().await)
}

/// Returns the state of the daemon.
pub async fn status(shared: &Shared) -> Answer {
    page(shared.control.status().await)
}

/// Returns the records and the daemons on which each is in force.
pub async fn records(shared: &Shared) -> Answer {
    page(shared.control.records().await)
}

/// Returns the routing decisions of a request.
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
            let message = "no decisions of this request here: query its entry, soon after its end";
            Answer::Ended(Refusal::with_status(404, Reason::BadRequest, message))
        }
        found => page(found),
    }
}

/// Returns the metrics in the Prometheus text format.
pub fn metrics(shared: &Shared) -> Answer {
    match shared.metrics.render() {
        Ok(body) => Answer::Page {
            status: 200,
            media_type: PROMETHEUS_TEXT,
            body,
        },
        Err(error) => internal_error(&error.to_string()),
    }
}

fn page<T: Serialize>(content: Result<T, ControlStopped>) -> Answer {
    let content = match content {
        Ok(content) => content,
        Err(stopped) => {
            let refusal = Refusal::new(Reason::Leaving, stopped.to_string()).retry_after_ms(0);
            return Answer::Ended(refusal);
        }
    };
    match serde_json::to_vec(&content) {
        Ok(body) => Answer::Page {
            status: 200,
            media_type: JSON,
            body,
        },
        Err(error) => internal_error(&error.to_string()),
    }
}

fn internal_error(detail: &str) -> Answer {
    Answer::Page {
        status: 500,
        media_type: "text/plain",
        body: detail.as_bytes().to_vec(),
    }
}
