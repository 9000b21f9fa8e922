use {
    super::{logged_request::LoggedRequest, table::Table, timeline::read_lines},
    crate::errors::CliError,
    serde::Serialize,
    std::{collections::BTreeMap, path::PathBuf},
};

/// Milliseconds per second, to group requests by the second in which they started.
const MS_PER_S: u64 = 1_000;
/// Number of seconds that the table shows: those with the most requests that weren't served in time.
const WORST_SECONDS: usize = 10;
/// Route shown for requests whose lines name none.
const UNKNOWN_ROUTE: &str = "(none)";

/// Number of requests of one route, or of one second, by how they ended.
#[derive(Debug, Default, Clone, Serialize)]
struct Tally {
    requests: usize,
    late: usize,
    /// Streams that started in time but had too long a gap between two events.
    paused: usize,
    /// Requests that were submitted again after a refusal; also counted by how the last submission ended.
    came_back: usize,
    refused: usize,
    failed: usize,
    /// Requests whose answer ended before it was complete.
    cut: usize,
    /// Requests whose caller disconnected.
    left: usize,
}

impl Tally {
    fn missed(&self) -> usize {
        self.late + self.paused + self.refused + self.failed + self.cut + self.left
    }
}

/// Requests in log files that weren't served in time, by route, second and reason.
#[derive(Debug, Default, Serialize)]
struct Losses {
    routes: BTreeMap<String, Tally>,
    seconds: BTreeMap<u64, Tally>,
    reasons: BTreeMap<String, usize>,
}

/// Reports which requests weren't served in time, from log files of any number of instances, in any order.
pub(crate) fn losses_from_logs(files: &[PathBuf], json: bool) -> Result<String, CliError> {
    let losses = Losses::from_requests(&LoggedRequest::from_lines(&read_lines(files)?));
    if json {
        return Ok(format!("{:#}", serde_json::json!(losses)));
    }
    Ok(losses.to_text())
}

impl Losses {
    fn from_requests(requests: &[LoggedRequest]) -> Self {
        let mut losses = Self::default();
        for request in requests {
            let Some(ended) = &request.ended else {
                continue;
            };
            let route = request.route.as_deref().unwrap_or(UNKNOWN_ROUTE);
            let second = request.started_ms() / MS_PER_S;
            let by_route = losses.routes.entry(route.to_owned()).or_default();
            by_route.add(request, &ended.outcome);
            let by_second = losses.seconds.entry(second).or_default();
            by_second.add(request, &ended.outcome);
            if !ended.reason.is_empty() {
                let reason = format!("{}: {}", ended.outcome, ended.reason);
                *losses.reasons.entry(reason).or_default() += 1;
            }
        }
        losses
    }

    fn to_text(&self) -> String {
        let head = [
            "LATE",
            "PAUSED",
            "REFUSED",
            "FAILED",
            "CUT",
            "LEFT",
            "CAME BACK",
            "OF",
        ];
        let mut routes = Table::new(&[&["ROUTE"], &head[..]].concat());
        for (route, tally) in &self.routes {
            routes.push_row(&tally.cells(route));
        }
        let mut worst: Vec<(&u64, &Tally)> = self.seconds.iter().collect();
        worst.sort_by_key(|(second, tally)| (std::cmp::Reverse(tally.missed()), **second));
        worst.truncate(WORST_SECONDS);
        worst.sort_unstable_by_key(|(second, _)| **second);
        let mut seconds = Table::new(&[&["SECOND"], &head[..]].concat());
        for (second, tally) in worst {
            seconds.push_row(&tally.cells(second));
        }
        let mut reasons = Table::new(&["REQUESTS", "REASON"]);
        for (reason, count) in &self.reasons {
            reasons.push_row(&[count, reason]);
        }
        [routes, seconds, reasons]
            .map(|table| table.to_text())
            .join("\n")
    }
}

impl Tally {
    fn add(&mut self, request: &LoggedRequest, outcome: &str) {
        self.requests += 1;
        self.came_back += usize::from(request.came_back);
        match outcome {
            "refused" => self.refused += 1,
            "failed" => self.failed += 1,
            "cut" => self.cut += 1,
            "caller_gone" => self.left += 1,
            _ if request.is_late() => self.late += 1,
            _ => self.paused += usize::from(request.is_paused()),
        }
    }

    fn cells<'a>(&'a self, name: &'a dyn ToString) -> [&'a dyn ToString; 9] {
        [
            name,
            &self.late,
            &self.paused,
            &self.refused,
            &self.failed,
            &self.cut,
            &self.left,
            &self.came_back,
            &self.requests,
        ]
    }
}
