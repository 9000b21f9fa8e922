use {
    super::{log_story::read_lines, table::Table},
    crate::errors::CliError,
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        path::PathBuf,
    },
};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Seconds that are shown, those with the most requests that weren't served in time.
const WORST_SECONDS: usize = 10;
/// What a request's route is called that no line names.
const NO_ROUTE: &str = "(none)";

/// What the log lines tell of one request.
#[derive(Debug, Default)]
struct Request {
    route: Option<String>,
    first_sent: Option<(u64, i64)>,
    ended: Option<Ended>,
}

#[derive(Debug)]
struct Ended {
    at_ms: u64,
    took_ms: u64,
    outcome: String,
    reason: String,
    first_event_ms: Option<u64>,
}

/// How requests of one kind, or of one second, ended.
#[derive(Debug, Default, Clone, Serialize)]
struct Tally {
    requests: usize,
    late: usize,
    refused: usize,
    failed: usize,
    cut: usize,
    left: usize,
}

impl Tally {
    fn not_in_time(&self) -> usize {
        self.late + self.refused + self.failed + self.cut + self.left
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
    let losses = Losses::of(&requests(&read_lines(files)?));
    if json {
        return Ok(format!("{:#}", serde_json::json!(losses)));
    }
    Ok(losses.to_text())
}

fn requests(lines: &[Value]) -> Vec<Request> {
    let mut requests: HashMap<&str, Request> = HashMap::new();
    for line in lines {
        let Some(id) = line["request"].as_str() else {
            continue;
        };
        let request = requests.entry(id).or_default();
        if let Some(route) = line["route"].as_str() {
            request.route = Some(route.to_owned());
        }
        request.take(line);
    }
    requests.into_values().collect()
}

impl Request {
    fn take(&mut self, line: &Value) {
        let at_ms = line["at_ms"].as_u64().unwrap_or_default();
        match line["event"].as_str() {
            Some("sent") if line["attempt"] == 1 => {
                let slack_ms = line["slack_ms"].as_i64().unwrap_or_default();
                self.first_sent = Some((at_ms, slack_ms));
            }
            Some("ended") => {
                let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
                self.ended = Some(Ended {
                    at_ms,
                    took_ms: line["took_ms"].as_u64().unwrap_or_default(),
                    outcome: text("outcome"),
                    reason: text("reason"),
                    first_event_ms: line["first_event_ms"].as_u64(),
                });
            }
            _ => {}
        }
    }
}

impl Ended {
    fn began_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.took_ms)
    }

    /// Whether its first event came later than it was due; a call has none and counts as in time.
    fn is_late(&self, first_sent: Option<(u64, i64)>) -> bool {
        let (Some(first_event_ms), Some((sent_ms, slack_ms))) = (self.first_event_ms, first_sent)
        else {
            return false;
        };
        let due_ms = sent_ms.saturating_add_signed(slack_ms);
        self.began_ms() + first_event_ms > due_ms
    }
}

impl Losses {
    fn of(requests: &[Request]) -> Self {
        let mut losses = Self::default();
        for request in requests {
            let Some(ended) = &request.ended else {
                continue;
            };
            let is_late = ended.is_late(request.first_sent);
            let route = request.route.as_deref().unwrap_or(NO_ROUTE);
            let second = ended.began_ms() / MS_PER_S;
            let by_route = losses.routes.entry(route.to_owned()).or_default();
            by_route.note(&ended.outcome, is_late);
            let by_second = losses.seconds.entry(second).or_default();
            by_second.note(&ended.outcome, is_late);
            if !ended.reason.is_empty() {
                let reason = format!("{}: {}", ended.outcome, ended.reason);
                *losses.reasons.entry(reason).or_default() += 1;
            }
        }
        losses
    }

    fn to_text(&self) -> String {
        let head = ["LATE", "REFUSED", "FAILED", "CUT", "LEFT", "OF"];
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
    fn note(&mut self, outcome: &str, is_late: bool) {
        self.requests += 1;
        match outcome {
            "refused" => self.refused += 1,
            "failed" => self.failed += 1,
            "cut" => self.cut += 1,
            "caller_gone" => self.left += 1,
            _ => self.late += usize::from(is_late),
        }
    }

    fn cells<'a>(&'a self, name: &'a dyn ToString) -> [&'a dyn ToString; 7] {
        [
            name,
            &self.late,
            &self.refused,
            &self.failed,
            &self.cut,
            &self.left,
            &self.requests,
        ]
    }
}
