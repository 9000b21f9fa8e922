//! The log of an entry instance: one JSON object a line, one line a decision.

use {
    super::entry_metrics::EntryMetrics,
    crate::{errors::DaemonError, logs::LineQueue},
    serde::Serialize,
    std::{
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    whinlatch_serving::{
        DecisionInputs,
        targets::{TargetChange, TargetState},
    },
};

/// A decision that touches a request, or changes what the process believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision {
    /// The process serves.
    Started {
        /// Name of the instance.
        instance: String,
        /// Its run.
        run: u64,
    },
    /// The process was told to stop, and until when it has time.
    Stopping {
        /// Time that is left, in ms.
        left_ms: u64,
    },
    /// The process ends.
    Stopped {
        /// Requests that were cut off.
        open_requests: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// What of them is in force.
        outcome: String,
    },
    /// The process stood still.
    Woke {
        /// For how long, in ms.
        paused_ms: u64,
    },
    /// A configuration was put in force.
    Configured {
        /// Its version.
        version: u64,
        /// Where it came from.
        source: &'static str,
    },
    /// Something that was published can't be read.
    Unreadable {
        /// What is wrong.
        fault: String,
    },
    /// Something of the process's own doesn't work.
    Trouble {
        /// Part of the process.
        part: &'static str,
        /// What doesn't work.
        fault: String,
    },
    /// The store doesn't answer any more.
    StoreLost {
        /// What it answered last.
        fault: String,
    },
    /// The store answers again.
    StoreRegained {
        /// For how long it didn't, in ms.
        away_ms: u64,
    },
    /// A target came, changed or went.
    Target {
        /// Its run.
        target: String,
        /// Its state now.
        state: &'static str,
        /// Revision of the store at which that happened.
        revision: u64,
        /// Where it came from.
        source: &'static str,
    },
    /// A target said something new of itself in an answer.
    Noticed {
        /// Its run.
        target: String,
        /// Requests a second that it takes from all instances together, if it names a limit.
        limit_per_s: Option<f64>,
        /// Whether it is about to leave.
        is_leaving: bool,
        /// Time for which it wants nothing from this instance, in ms.
        retry_after_ms: Option<u64>,
    },
    /// A request isn't sent to a target that takes no more now.
    NotPermitted {
        /// Its run.
        target: String,
        /// Requests a second that it takes from all instances together, if it names a limit.
        limit_per_s: Option<f64>,
        /// The instance that was asked for permission, if another one grants it.
        holder: Option<String>,
        /// Time until it may be sent to again, in ms.
        opens_in_ms: Option<u64>,
    },
    /// The process goes by a relay's reading of the store.
    Relayed {
        /// Where the relay links.
        relay: String,
        /// Revision up to which it knows all.
        revision: u64,
        /// Time since the store told it so, in ms.
        age_ms: u64,
    },
    /// The process has no fresh word of a relay any more, or is to read the store for others.
    RelayLost {
        /// What it does about the store now.
        duty: &'static str,
        /// Revision up to which it knows all, if anything.
        known_to: Option<u64>,
    },
    /// A link to a peer is open.
    PeerLinked {
        /// Where it links.
        peer: String,
    },
    /// A link to a peer broke.
    PeerLost {
        /// Where it links.
        peer: String,
        /// Why.
        fault: String,
    },
    /// The process tells all others who is alive from now on, or no more.
    Hub {
        /// Whether it does.
        is_hub: bool,
        /// Number of peers that it takes for alive.
        peers: usize,
    },
    /// A request was sent to a target.
    Sent {
        /// Id of the request.
        request: String,
        /// Route by which it goes.
        route: String,
        /// Version of the configuration that decided.
        version: u64,
        /// The target.
        target: String,
        /// Engines that help to read it.
        helpers: Vec<String>,
        /// When the first event is expected, in ms.
        expected_ms: u64,
        /// Time until it is late, in ms.
        slack_ms: i64,
        /// Longest pause with which its stream is on time, in ms.
        #[serde(skip_serializing_if = "Option::is_none")]
        pause_limit_ms: Option<u64>,
        /// What all tries of the same request of a caller have in common; `None` where nothing tells
        /// them from requests of others.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        /// Place among the request's attempts.
        attempt: u32,
        /// What was weighed, of a prompt.
        #[serde(skip_serializing_if = "Option::is_none")]
        weighed: Option<DecisionInputs>,
    },
    /// A request gets no target.
    Refused {
        /// Id of the request.
        request: String,
        /// Route by which it came.
        route: String,
        /// Why.
        reason: &'static str,
        /// When its caller is to come back, in ms, if at all.
        retry_after_ms: Option<u64>,
        /// What all tries of the same request of a caller have in common; `None` where nothing tells
        /// them from requests of others.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        /// What was weighed, of a prompt that others would lose too much by.
        #[serde(skip_serializing_if = "Option::is_none")]
        weighed: Option<DecisionInputs>,
    },
    /// An attempt came to nothing.
    AttemptFailed {
        /// Id of the request.
        request: String,
        /// The target.
        target: String,
        /// What happened.
        fault: String,
        /// Whether the target may have run it.
        may_have_run: bool,
    },
    /// A request is over.
    Ended {
        /// Id of the request.
        request: String,
        /// How it ended.
        outcome: &'static str,
        /// Status that the caller got, 0 if none.
        status: u16,
        /// Why, where it wasn't answered by a target.
        reason: String,
        /// Time from its last byte to the end, in ms.
        took_ms: u64,
        /// Time to the first event, in ms.
        first_event_ms: Option<u64>,
        /// Longest pause between two of its events, in ms.
        longest_pause_ms: u64,
        /// Number of targets that it was sent to.
        sends: u32,
    },
}

impl Decision {
    /// A target came, changed or went.
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

/// The log of decisions, one JSON object each.
#[derive(Debug)]
pub struct DecisionLines {
    lines: LineQueue<String>,
    metrics: Arc<EntryMetrics>,
}

impl DecisionLines {
    /// Starts the writing thread; it ends when this is dropped.
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if there is no thread to be had.
    pub fn start(metrics: Arc<EntryMetrics>) -> Result<Self, DaemonError> {
        let lines = LineQueue::start(|line: String| log::info!("{line}"))?;
        Ok(Self { lines, metrics })
    }

    /// Queues a line.
    pub fn write(&self, decision: &Decision) {
        let at_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let queued = serde_json::to_string(&Line { at_ms, decision })
            .is_ok_and(|line| self.lines.push(line));
        if !queued {
            self.metrics.note_dropped_log_line();
        }
    }
}
