//! The log of an entry instance: one JSON object per line, one line per decision.

use {
    super::{entry_metrics::EntryMetrics, http::Framing, open_requests::OpenRequest},
    crate::{
        clock::{Clock, timeout},
        errors::DaemonError,
        logs::LineQueue,
    },
    serde::Serialize,
    std::{
        ops::Not,
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    whinlatch_serving::{
        DecisionInputs,
        targets::{TargetChange, TargetState},
    },
};

/// Longest time for which the end of the process waits for its last lines to be written, in ms.
const FLUSH_TIMEOUT_MS: u64 = 100;

/// A logged event: a decision on a request, or a change of what the process knows. The variant is the
/// field `event`; its name and the names of its fields are read by the operators' tools.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision {
    /// The instance has started.
    Started {
        /// Name of the instance, from its settings.
        instance: String,
        /// Random id of this run of the process.
        run: u64,
    },
    /// The process received the signal to stop.
    Stopping {
        /// Time until the process exits at the latest, in ms.
        left_ms: u64,
    },
    /// The process exits.
    Stopped {
        /// Requests still open; their connections are closed.
        open_requests: usize,
    },
    /// The settings were read again and have changed, or can't be read.
    Reloaded {
        /// Which changes are active now, or the error.
        outcome: String,
    },
    /// The process resumed after its host had paused it.
    #[serde(rename = "woke")]
    ProcessResumed {
        /// Length of the pause, in ms.
        paused_ms: u64,
    },
    /// A configuration was activated.
    Configured {
        /// Version of the configuration.
        version: u64,
        /// Where it came from: `store` or `peer`.
        source: &'static str,
    },
    /// A published entry, a report or a peer's frame can't be read.
    Unreadable {
        /// Which one, and the error.
        fault: String,
    },
    /// An operation of the process itself failed.
    #[serde(rename = "trouble")]
    Fault {
        /// Part of the process: a listener, `links` or `reservations`.
        part: &'static str,
        /// Error of the operation.
        fault: String,
    },
    /// The store stopped answering.
    StoreLost {
        /// Error of the first call that failed.
        fault: String,
    },
    /// The store answers again.
    StoreRegained {
        /// Time since the first call that failed, in ms.
        away_ms: u64,
    },
    /// A target was added, changed or removed.
    Target {
        /// Id of its run, or its name if it is gone.
        target: String,
        /// `ready`, `draining` or `gone`.
        state: &'static str,
        /// Revision of the store at which it changed.
        revision: u64,
        /// `store`, `peer`, or `grace` for a removal that was unconfirmed until now.
        source: &'static str,
    },
    /// The store removed a target's entry, which may have expired only because the store was unavailable. The target
    /// takes requests until the removal is confirmed by a `target` line, or by another entry.
    RemovalUnconfirmed {
        /// Name under which the target is published.
        target: String,
        /// Revision of the store at which the entry was removed.
        revision: u64,
        /// The instance's role in reading the store.
        #[serde(rename = "duty")]
        store_role: &'static str,
        /// Whether the instance takes the store for unavailable.
        is_store_lost: bool,
        /// Time since the store answered again, in ms, if it was unavailable before.
        regained_ms_ago: Option<u64>,
    },
    /// Operators requested that the targets of a failure domain get nothing new, or ended that.
    Evacuation {
        /// The failure domain.
        failure_domain: String,
        /// Whether it is evacuated now.
        is_evacuated: bool,
        /// Number of published targets in it; 0 also for a failure domain that doesn't exist.
        targets: usize,
        /// Revision of the store at which it changed.
        revision: u64,
        /// `store` or `peer`.
        source: &'static str,
    },
    /// A target reported a new limit, pause or leaving in an answer.
    Noticed {
        /// Id of the target's run.
        target: String,
        /// Requests per second that the target takes from all instances together, if it names a limit.
        limit_per_s: Option<f64>,
        /// Whether the target announced that it is leaving.
        is_leaving: bool,
        /// Pause that it asks of this instance, in ms.
        retry_after_ms: Option<u64>,
    },
    /// A request isn't sent to a target since its limit is used up or it asked for a pause.
    NotPermitted {
        /// Id of the target's run.
        target: String,
        /// Requests per second that the target takes from all instances together, if it names a limit.
        limit_per_s: Option<f64>,
        /// Peer address of the instance that holds the quota, if it is another one and was asked.
        holder: Option<String>,
        /// Time until the target takes requests of this instance again, in ms, if known.
        opens_in_ms: Option<u64>,
    },
    /// The instance follows a relay and no longer calls the store.
    Relayed {
        /// Peer address of the relay.
        relay: String,
        /// Revision up to which the relay's knowledge is complete.
        revision: u64,
        /// Time since the store confirmed that revision, in ms.
        age_ms: u64,
    },
    /// The instance no longer follows a relay: its status is stale, or this instance reads for others.
    RelayLost {
        /// The instance's role in reading the store now.
        #[serde(rename = "duty")]
        role: &'static str,
        /// Revision up to which this instance's knowledge is complete; `None` if it has none.
        known_to: Option<u64>,
    },
    /// This instance opened a link to a peer.
    PeerLinked {
        /// Peer address.
        peer: String,
    },
    /// A link to a peer broke or was closed.
    PeerLost {
        /// Peer address.
        peer: String,
        /// The error, or that the link is no longer needed.
        fault: String,
    },
    /// The instance became a hub, which sends the roster to all peers, or ceased to be one.
    Hub {
        /// Whether it is a hub now.
        is_hub: bool,
        /// Number of live peers.
        peers: usize,
    },
    /// A request was sent to a target.
    Sent {
        /// Id of the request.
        request: String,
        /// Name of its route.
        route: String,
        /// Version of the configuration by which it was routed.
        version: u64,
        /// Id of the target's run.
        target: String,
        /// Ids of the helpers, in the order in which they are filled.
        helpers: Vec<String>,
        /// Expected time to the first event, in ms; 0 for a plain call.
        expected_ms: u64,
        /// Time left until the objective of the route, or the deadline of a plain call, in ms; negative if it is
        /// late.
        slack_ms: i64,
        /// Longest pause between events with which the stream is on time, in ms.
        #[serde(skip_serializing_if = "Option::is_none")]
        pause_limit_ms: Option<u64>,
        /// Hash that is the same for all retries of a request; `None` for a request without a body, which
        /// can't be distinguished from others.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Whether it is the second attempt of a call whose first one is still in flight.
        #[serde(skip_serializing_if = "Not::not")]
        hedge: bool,
        /// Inputs of the decision; `None` for a plain call.
        #[serde(rename = "weighed", skip_serializing_if = "Option::is_none")]
        inputs: Option<DecisionInputs>,
    },
    /// A call whose first attempt is late was sent to a second target.
    Hedged {
        /// Id of the request.
        request: String,
        /// Id of the second target's run.
        target: String,
        /// Id of the first target's run.
        first_target: String,
        /// Time since the first attempt began, in ms.
        after_ms: u64,
        /// Answer time from which an answer of the service is late, in ms; `None` if too few answers are known.
        late_answer_ms: Option<f64>,
    },
    /// A request is sent to a peer that is to serve it, since this instance reaches no target of its service.
    Forwarded {
        /// Id of the request, which the lines of the peer have too.
        request: String,
        /// Name of its route.
        route: String,
        /// Peer address of the instance.
        peer: String,
        /// Number of targets that may have run it before.
        runs: u32,
    },
    /// A service got out of reach or is in reach again: connections to several of its targets failed in a row, or one
    /// was opened again.
    Reach {
        /// Name of the service.
        service: String,
        /// Whether it can be reached.
        in_reach: bool,
        /// Live peers that may serve requests for it.
        has_peer: bool,
    },
    /// A request was refused.
    Refused {
        /// Id of the request.
        request: String,
        /// Name of its route.
        route: String,
        /// Message that the caller gets.
        reason: &'static str,
        /// Time after which the caller may retry, in ms; `None` if it isn't to retry.
        retry_after_ms: Option<u64>,
        /// Hash that is the same for all retries of a request; `None` for a request without a body, which
        /// can't be distinguished from others.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        /// Inputs of the decision, if a prompt was refused for its cost to others.
        #[serde(rename = "weighed", skip_serializing_if = "Option::is_none")]
        inputs: Option<DecisionInputs>,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Id of the request.
        request: String,
        /// Id of the target's run.
        target: String,
        /// Error that ended the attempt.
        fault: String,
        /// Whether the target may have run the request.
        may_have_run: bool,
        /// Sign by which the target counted as silent, if its silence ended the attempt.
        #[serde(skip_serializing_if = "Option::is_none")]
        silence: Option<&'static str>,
        /// Time since anything of the answer arrived, in ms, if silence ended the attempt.
        #[serde(skip_serializing_if = "Option::is_none")]
        silent_ms: Option<u64>,
    },
    /// A prompt stays at its silent engine, since no other one takes it now. The search is repeated; an attempt has one
    /// line at most.
    NotMoved {
        /// Id of the request.
        request: String,
        /// Id of the silent engine's run.
        target: String,
        /// Sign by which the engine counts as silent.
        silence: &'static str,
        /// Time since anything of the answer arrived, in ms.
        silent_ms: u64,
        /// Reason for which no other engine takes the prompt.
        reason: &'static str,
    },
    /// A connection broke while its target may have run a request, which may have crashed the target.
    Break {
        /// Id of the request.
        request: String,
        /// Id of the target's run.
        target: String,
        /// Hash that is the same for all retries of a request; `None` for a request without a body, which
        /// can't be distinguished from others.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        /// Ids of the parts of the prompt that other prompts may share.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        parts: Vec<String>,
        /// Whether an earlier request was answered on the connection.
        reused: bool,
        /// Time since the request was sent, in ms.
        ran_ms: u64,
        /// What was made of it.
        verdict: &'static str,
    },
    /// A request or a part of prompts is kept from targets, since it has crashed several, or isn't any more.
    Blamed {
        /// `request` or `part`.
        kind: &'static str,
        /// Fingerprint of the request or id of the part, in hexadecimal.
        id: String,
        /// Number of targets that it has crashed, as far as this instance knows.
        targets: u32,
        /// Whether it is refused from now on.
        refused: bool,
    },
    /// A request ended.
    Ended {
        /// Id of the request.
        request: String,
        /// `answered`, `refused`, `failed`, `cut`, `caller_gone` or `process_ended`.
        outcome: &'static str,
        /// Status sent to the caller, 0 if none.
        status: u16,
        /// Reason; empty if a target's answer was passed on or the caller is gone.
        reason: String,
        /// Time from its first byte to the end of its answer, in ms.
        took_ms: u64,
        /// Time to the first event, in ms.
        first_event_ms: Option<u64>,
        /// Longest pause between two of its events, in ms.
        longest_pause_ms: u64,
        /// Number of attempts in which it was sent to a target.
        sends: u32,
        /// What ended it, where its time was over: `caller_deadline` or `route_timeout`.
        #[serde(skip_serializing_if = "Option::is_none")]
        time_limit: Option<&'static str>,
        /// Framing of the last answer that a target began: `length`, `chunked`, `until_close` or `empty`.
        #[serde(skip_serializing_if = "Option::is_none")]
        framing: Option<&'static str>,
        /// Bytes of an incomplete event at the end of the last attempt's stream, if there were any.
        #[serde(skip_serializing_if = "Option::is_none")]
        partial_event_bytes: Option<usize>,
    },
}

impl Decision {
    /// Creates the line for a request that the end of the process cuts off after `took_ms`.
    pub fn cut_off(request: &OpenRequest, took_ms: u64) -> Self {
        let progress = request.progress();
        Self::Ended {
            request: request.id.clone(),
            outcome: "process_ended",
            status: progress.first_event_ms.map_or(0, |_ms| 200),
            reason: "the process ended before the answer was complete".to_owned(),
            took_ms,
            first_event_ms: progress.first_event_ms,
            longest_pause_ms: progress.longest_pause_ms,
            sends: progress.sends,
            time_limit: None,
            framing: progress.framing.map(Framing::name),
            partial_event_bytes: progress.partial_event_bytes,
        }
    }

    /// Creates the line for a change of a target; `source` is `store`, `peer` or `grace`.
    pub fn target(change: &TargetChange, source: &'static str) -> Self {
        let entry = change.entry.as_ref();
        Self::Target {
            target: entry.map_or(&*change.name, |entry| &entry.id).to_owned(),
            state: entry.map_or("gone", |entry| match entry.state {
                TargetState::Ready => "ready",
                TargetState::Draining => "draining",
            }),
            revision: change.revision,
            source,
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    decision: &'a Decision,
}

/// Writes [`Decision`]s to the log from a thread of its own, so that no task waits for the output.
#[derive(Debug)]
pub struct DecisionLines {
    lines: LineQueue<String>,
    metrics: Arc<EntryMetrics>,
}

impl DecisionLines {
    /// Starts the writing thread, which stops when this is dropped.
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if the thread can't be started.
    pub fn start(metrics: Arc<EntryMetrics>) -> Result<Self, DaemonError> {
        let lines = LineQueue::start(|line: String| log::info!("{line}"))?;
        Ok(Self { lines, metrics })
    }

    /// Completes once all queued lines have been written, or after [`FLUSH_TIMEOUT_MS`].
    ///
    /// Guards against a process that ends before its last lines are written, which tell what its end cut off.
    pub async fn flush(&self, clock: &dyn Clock) {
        let _in_time = timeout(clock, FLUSH_TIMEOUT_MS, self.lines.close()).await;
    }

    /// Queues a line; counts it as dropped if the queue is full.
    pub fn write(&self, decision: &Decision) {
        let at_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let queued = serde_json::to_string(&Line { at_ms, decision })
            .is_ok_and(|line| self.lines.push(line));
        if !queued {
            self.metrics.record_dropped_log_line();
        }
    }
}
