use {
    super::{log_story::read_lines, logged_request::LoggedRequest, table::Table},
    crate::errors::CliError,
    serde::Serialize,
    std::{collections::BTreeMap, path::PathBuf},
};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Seconds that are shown, those with the most requests that weren't served in time.
const WORST_SECONDS: usize = 10;
/// What a request's route is called that no line names.
const NO_ROUTE: &str = "(none)";

/// How requests of one kind, or of one second, ended.
#[derive(Debug, Default, Clone, Serialize)]
struct Tally {
    requests: usize,
    late: usize,
    /// Streams that began in time and paused for too long.
    paused: usize,
    /// Refused at least once, whatever became of the next try.
    came_back: usize,
    refused: usize,
    failed: usize,
    cut: usize,
    left: usize,
}

impl Tally {
    fn not_in_time(&self) -> usize {
        self.late + self.paused + self.refused + self.failed + self.cut + self.left
    }
}

/// Where requests of a day weren't served in time.
#[derive(Debug, Default, Serialize)]
struct Losses {
    routes: BTreeMap<String, Tally>,
    seconds: BTreeMap<u64, Tally>,
    reasons: BTreeMap<String, usize>,
}

/// Tells from log lines of any number of instances, in any order, which requests weren't served in
/// time: by route, by second and by reason.
pub(crate) fn losses_of_log(files: &[PathBuf], json: bool) -> Result<String, CliError> {
    let losses = Losses::of(&LoggedRequest::all_in(&read_lines(files)?));
    if json {
        return Ok(format!("{:#}", serde_json::json!(losses)));
    }
    Ok(losses.to_text())
}

impl Losses {
    fn of(requests: &[LoggedRequest]) -> Self {
        let mut losses = Self::default();
        for request in requests {
            let Some(ended) = &request.ended else {
                continue;
            };
            let route = request.route.as_deref().unwrap_or(NO_ROUTE);
            let second = request.began_ms() / MS_PER_S;
            let by_route = losses.routes.entry(route.to_owned()).or_default();
            by_route.note(request, &ended.outcome);
            let by_second = losses.seconds.entry(second).or_default();
            by_second.note(request, &ended.outcome);
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
            routes.row(&tally.cells(route));
        }
        let mut worst: Vec<(&u64, &Tally)> = self.seconds.iter().collect();
        worst.sort_by_key(|(second, tally)| (std::cmp::Reverse(tally.not_in_time()), **second));
        worst.truncate(WORST_SECONDS);
        worst.sort_unstable_by_key(|(second, _)| **second);
        let mut seconds = Table::new(&[&["SECOND"], &head[..]].concat());
        for (second, tally) in worst {
            seconds.row(&tally.cells(second));
        }
        let mut reasons = Table::new(&["REQUESTS", "REASON"]);
        for (reason, count) in &self.reasons {
            reasons.row(&[count, reason]);
        }
        [routes, seconds, reasons]
            .map(|table| table.to_text())
            .join("\n")
    }
}

impl Tally {
    fn note(&mut self, request: &LoggedRequest, outcome: &str) {
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
