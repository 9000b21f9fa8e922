use {
    super::Decision,
    crate::time::MonoMs,
    std::collections::{HashMap, VecDeque},
    whinlatch_wire::{
        caller::Outcome,
        ids::RequestId,
        report::{DecisionReport, DecisionStep},
    },
};

/// Maximum number of requests whose decisions are kept for `GET /v1/decisions/{request}`.
const MAX_REQUESTS: usize = 2_000;

/// Decisions about the most recent requests.
#[derive(Debug, Default)]
pub struct DecisionHistory {
    reports: HashMap<RequestId, RequestHistory>,
    order: VecDeque<RequestId>,
}

#[derive(Debug)]
struct RequestHistory {
    started_at: MonoMs,
    report: DecisionReport,
}

impl DecisionHistory {
    /// Starts the report of a request, and evicts the oldest one if there are too many.
    pub fn start(&mut self, now: MonoMs, request: RequestId) {
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.reports.remove(&oldest);
        }
        let report = DecisionReport {
            request,
            steps: Vec::new(),
            outcome: None,
        };
        if self
            .reports
            .insert(
                request,
                RequestHistory {
                    started_at: now,
                    report,
                },
            )
            .is_none()
        {
            self.order.push_back(request);
        }
    }

    /// Adds a decision to the report of its request. Ignores a decision without a request, and one
    /// whose request has no report.
    pub fn record(&mut self, now: MonoMs, decision: &Decision) {
        let Some(history) = decision
            .request
            .and_then(|request| self.reports.get_mut(&request))
        else {
            return;
        };
        history.report.steps.push(DecisionStep {
            after_ms: now.since(history.started_at),
            part: decision.subsystem.prefix().to_owned(),
            text: decision.text.clone(),
        });
    }

    /// Adds the outcome of a request to its report.
    pub fn set_outcome(&mut self, outcome: &Outcome) {
        if let Some(history) = self.reports.get_mut(&outcome.request) {
            history.report.outcome = Some(outcome.clone());
        }
    }

    /// Returns the report of a request; `None` if it was never started or has been evicted.
    pub fn report(&self, request: RequestId) -> Option<&DecisionReport> {
        self.reports.get(&request).map(|history| &history.report)
    }
}
