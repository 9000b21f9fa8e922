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

/// Requests whose decisions are kept for `GET /v1/decisions/{request}`.
const KEPT_REQUESTS: usize = 2_000;

/// Decisions of the latest requests.
#[derive(Debug, Default)]
pub struct DecisionBook {
    reports: HashMap<RequestId, Page>,
    order: VecDeque<RequestId>,
}

#[derive(Debug)]
struct Page {
    opened: MonoMs,
    report: DecisionReport,
}

impl DecisionBook {
    /// Begins the page of a request; the oldest page goes when there are too many.
    pub fn open(&mut self, now: MonoMs, request: RequestId) {
        if self.order.len() >= KEPT_REQUESTS
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
                Page {
                    opened: now,
                    report,
                },
            )
            .is_none()
        {
            self.order.push_back(request);
        }
    }

    /// Notes a decision about a request whose page is open.
    pub fn note(&mut self, now: MonoMs, decision: &Decision) {
        let Some(page) = decision
            .request
            .and_then(|request| self.reports.get_mut(&request))
        else {
            return;
        };
        page.report.steps.push(DecisionStep {
            after_ms: now.since(page.opened),
            part: decision.part.prefix().to_owned(),
            text: decision.text.clone(),
        });
    }

    /// Notes how a request ended.
    pub fn close(&mut self, outcome: &Outcome) {
        if let Some(page) = self.reports.get_mut(&outcome.request) {
            page.report.outcome = Some(outcome.clone());
        }
    }

    /// The page of a request, if it is still kept.
    pub fn report(&self, request: RequestId) -> Option<&DecisionReport> {
        self.reports.get(&request).map(|page| &page.report)
    }
}
