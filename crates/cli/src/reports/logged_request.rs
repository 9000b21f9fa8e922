use {serde_json::Value, std::collections::HashMap};

/// What the log lines tell of one request, or of several tries of the same one.
#[derive(Debug, Default)]
pub(super) struct LoggedRequest {
    /// Route by which it came.
    pub(super) route: Option<String>,
    /// How its last try ended, if it has.
    pub(super) ended: Option<Ended>,
    /// Whether an earlier try was refused.
    pub(super) came_back: bool,
    fingerprint: Option<String>,
    first_sent: Option<Sent>,
    first_try_ms: Option<u64>,
}

/// How a try ended.
#[derive(Debug)]
pub(super) struct Ended {
    /// How, in a word.
    pub(super) outcome: String,
    /// Why, where it wasn't answered by a target.
    pub(super) reason: String,
    at_ms: u64,
    took_ms: u64,
    first_event_ms: Option<u64>,
    longest_pause_ms: u64,
}

/// The first sending of a try to a target.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct Sent {
    at_ms: u64,
    slack_ms: i64,
    pause_limit_ms: Option<u64>,
}

impl LoggedRequest {
    /// The requests of callers in log lines. A try of a request that was refused before is no
    /// request of its own: to its caller it is late by the time of the first try.
    pub(super) fn all_in(lines: &[Value]) -> Vec<Self> {
        let mut tries: HashMap<&str, Self> = HashMap::new();
        for line in lines {
            if let Some(id) = line["request"].as_str() {
                tries.entry(id).or_default().take(line);
            }
        }
        join_tries(tries.into_values().collect())
    }

    /// When its caller first asked, in ms of the time of day.
    pub(super) fn began_ms(&self) -> u64 {
        let own_ms = self.ended.as_ref().map_or(0, Ended::began_ms);
        self.first_try_ms.unwrap_or(own_ms)
    }

    /// Whether its first event came later than it was due; a call has none and counts as in time.
    pub(super) fn is_late(&self) -> bool {
        let (Some(ended), Some(sent)) = (&self.ended, self.first_sent) else {
            return false;
        };
        let Some(first_event_ms) = ended.first_event_ms else {
            return false;
        };
        let spent_ms = ended.began_ms().saturating_sub(self.began_ms());
        let due_ms = sent.at_ms.saturating_add_signed(sent.slack_ms);
        ended.began_ms() + first_event_ms + spent_ms > due_ms
    }

    /// Whether two of its events were further apart than its route wants.
    pub(super) fn is_paused(&self) -> bool {
        let limit_ms = self.first_sent.and_then(|sent| sent.pause_limit_ms);
        let ended = self.ended.as_ref();
        ended.is_some_and(|ended| limit_ms.is_some_and(|limit| ended.longest_pause_ms > limit))
    }

    fn take(&mut self, line: &Value) {
        let text = |name: &str| line[name].as_str().map(str::to_owned);
        let number = |name: &str| line[name].as_u64();
        self.route = text("route").or_else(|| self.route.take());
        self.fingerprint = text("fingerprint").or_else(|| self.fingerprint.take());
        let at_ms = number("at_ms").unwrap_or_default();
        match line["event"].as_str() {
            Some("sent") if line["attempt"] == 1 => {
                self.first_sent = Some(Sent {
                    at_ms,
                    slack_ms: line["slack_ms"].as_i64().unwrap_or_default(),
                    pause_limit_ms: number("pause_limit_ms"),
                });
            }
            Some("ended") => {
                self.ended = Some(Ended {
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

impl Ended {
    fn began_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.took_ms)
    }
}

/// Puts each try that followed a refusal of the same request in the place of the one before it.
fn join_tries(mut tries: Vec<LoggedRequest>) -> Vec<LoggedRequest> {
    tries.sort_by_key(LoggedRequest::began_ms);
    let mut refused: HashMap<String, LoggedRequest> = HashMap::new();
    let mut joined = Vec::new();
    for mut request in tries {
        let Some(fingerprint) = request.fingerprint.clone() else {
            joined.push(request);
            continue;
        };
        if let Some(former) = refused.remove(&fingerprint) {
            request.first_try_ms = Some(former.began_ms());
            request.came_back = true;
        }
        if request.is_refused() {
            refused.insert(fingerprint, request);
        } else {
            joined.push(request);
        }
    }
    joined.extend(refused.into_values());
    joined
}
