use {serde_json::Value, std::collections::HashMap};

/// A caller's request as the log lines show it. A caller that is refused may submit the same request again
/// under a new id: all its submissions are merged into one.
#[derive(Debug, Default)]
pub(super) struct LoggedRequest {
    /// Route of the request; `None` if no line names it.
    pub(super) route: Option<String>,
    /// End of the last submission; `None` while it is in flight or if the line is missing.
    pub(super) ended: Option<SubmissionEnd>,
    /// Whether an earlier submission was refused.
    pub(super) came_back: bool,
    fingerprint: Option<String>,
    first_sent: Option<FirstSend>,
    first_submission_ms: Option<u64>,
}

/// End of a submission.
#[derive(Debug)]
pub(super) struct SubmissionEnd {
    /// Value of `outcome` in the log line, such as `answered` or `cut`.
    pub(super) outcome: String,
    /// Reason; empty if a target answered.
    pub(super) reason: String,
    at_ms: u64,
    took_ms: u64,
    first_event_ms: Option<u64>,
    longest_pause_ms: u64,
}

/// First attempt of a submission at a target.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct FirstSend {
    at_ms: u64,
    slack_ms: i64,
    pause_limit_ms: Option<u64>,
}

impl LoggedRequest {
    /// Returns the requests that log lines mention. A submission that follows a refusal of the same request
    /// isn't counted as another request: for its caller, the time since the first submission decides if it
    /// is late.
    pub(super) fn from_lines(lines: &[Value]) -> Vec<Self> {
        let mut submissions: HashMap<&str, Self> = HashMap::new();
        for line in lines {
            if let Some(id) = line["request"].as_str() {
                submissions.entry(id).or_default().apply_line(line);
            }
        }
        merge_retries(submissions.into_values().collect())
    }

    /// Returns when the caller first submitted the request, in ms as the log lines' `at_ms`; 0 if no line
    /// shows the end of the request.
    pub(super) fn started_ms(&self) -> u64 {
        let last_ms = self.ended.as_ref().map_or(0, SubmissionEnd::started_ms);
        self.first_submission_ms.unwrap_or(last_ms)
    }

    /// Returns true if the first event came later than it was due. A service call has no events and is never
    /// late.
    pub(super) fn is_late(&self) -> bool {
        let (Some(ended), Some(sent)) = (&self.ended, self.first_sent) else {
            return false;
        };
        let Some(first_event_ms) = ended.first_event_ms else {
            return false;
        };
        let spent_ms = ended.started_ms().saturating_sub(self.started_ms());
        let due_ms = sent.at_ms.saturating_add_signed(sent.slack_ms);
        ended.started_ms() + first_event_ms + spent_ms > due_ms
    }

    /// Returns true if the gap between two events exceeded the limit of the route.
    pub(super) fn is_paused(&self) -> bool {
        let limit_ms = self.first_sent.and_then(|sent| sent.pause_limit_ms);
        let ended = self.ended.as_ref();
        ended.is_some_and(|ended| limit_ms.is_some_and(|limit| ended.longest_pause_ms > limit))
    }

    fn apply_line(&mut self, line: &Value) {
        let text = |name: &str| line[name].as_str().map(str::to_owned);
        let number = |name: &str| line[name].as_u64();
        self.route = text("route").or_else(|| self.route.take());
        self.fingerprint = text("fingerprint").or_else(|| self.fingerprint.take());
        let at_ms = number("at_ms").unwrap_or_default();
        match line["event"].as_str() {
            Some("sent") if line["attempt"] == 1 => {
                self.first_sent = Some(FirstSend {
                    at_ms,
                    slack_ms: line["slack_ms"].as_i64().unwrap_or_default(),
                    pause_limit_ms: number("pause_limit_ms"),
                });
            }
            Some("ended") => {
                self.ended = Some(SubmissionEnd {
                    outcome: text("outcome").unwrap_or_default(),
                    reason: text("reason").unwrap_or_default(),
                    at_ms,
                    took_ms: number("took_ms").unwrap_or_default(),
                    first_event_ms: number("first_event_ms"),
                    longest_pause_ms: number("longest_pause_ms").unwrap_or_default(),
                });
            }
            _ => {}
        }
    }

    fn is_refused(&self) -> bool {
        self.ended
            .as_ref()
            .is_some_and(|ended| ended.outcome == "refused")
    }
}

impl SubmissionEnd {
    fn started_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.took_ms)
    }
}

/// Merges each submission that follows a refusal of the same request, by fingerprint, with the refused one.
fn merge_retries(mut submissions: Vec<LoggedRequest>) -> Vec<LoggedRequest> {
    submissions.sort_by_key(LoggedRequest::started_ms);
    let mut refused: HashMap<String, LoggedRequest> = HashMap::new();
    let mut merged = Vec::new();
    for mut request in submissions {
        let Some(fingerprint) = request.fingerprint.clone() else {
            merged.push(request);
            continue;
        };
        if let Some(previous) = refused.remove(&fingerprint) {
            request.first_submission_ms = Some(previous.started_ms());
            request.came_back = true;
        }
        if request.is_refused() {
            refused.insert(fingerprint, request);
        } else {
            merged.push(request);
        }
    }
    merged.extend(refused.into_values());
    merged
}
