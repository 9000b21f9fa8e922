use {
    serde::Serialize,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// Kind of a request. Findings print the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RequestKind {
    /// A call that may run more than once.
    Safe,
    /// A call that may run once at most.
    Unsafe,
    /// A prompt whose answer is a resumable stream.
    Stream,
    /// A call of a route that exists in a single version of the configuration.
    Probe {
        /// Version with the route.
        version: u64,
    },
}

/// One run of an instance's process, from start to exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct InstanceRun {
    /// Index of the instance.
    pub instance: usize,
    /// Number of starts of the instance up to this run, which is 1 for the first.
    pub starts: u32,
}

/// Stop of an instance's run by a signal.
#[derive(Debug, Clone)]
pub struct InstanceStop {
    /// The run that was told to stop.
    pub run: InstanceRun,
    /// When it got the first signal to stop.
    pub signalled_at: Instant,
    /// When its exit was observed; `None` if it still runs.
    pub exited_at: Option<Instant>,
}

/// Result of a request as its caller observed it. Findings print the variants' names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// The connection failed before the whole request was sent.
    NotSent,
    /// The connection was closed without a response.
    Closed,
    /// No response came within the caller's patience, which is far longer than the route's timeout.
    Silent,
    /// The caller closed the connection before the end of the response.
    Left,
    /// A response arrived.
    Answered {
        /// Status of the response.
        status: u16,
        /// Whether the response carries a target's seal.
        is_sealed: bool,
        /// Whether the body is complete by its framing.
        is_whole: bool,
        /// Body as far as it was received.
        body: String,
        /// Time after which the caller is asked to come back, in s, as it is written in the header.
        retry_after: Option<String>,
    },
}

/// A request of a caller and its outcome.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Id that the caller gave the request.
    pub id: String,
    /// Kind by which its outcome is checked.
    pub kind: RequestKind,
    /// Path as the caller sent it.
    pub path: String,
    /// Run of the instance that it was sent to; `None` if the instance was restarted before the end.
    pub run: Option<InstanceRun>,
    /// Run of the instance that accepted its connection.
    pub accepted_by: InstanceRun,
    /// Whether its connection had carried an earlier request.
    pub on_reused_connection: bool,
    /// When the caller began to send it.
    pub sent_at: Instant,
    /// When the response was complete, or the request had failed.
    pub ended_at: Instant,
    /// Whether the response announces that its target is leaving.
    pub announces_leaving: bool,
    /// Result that the caller observed.
    pub outcome: Outcome,
}

/// Execution of a request by a target. Findings print the fields' names.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the target's run.
    pub target: String,
    /// Path as it reached the target.
    pub path: String,
    /// Client account in the header to the target; empty if it is missing.
    pub account: String,
    /// Whether the caller's key reached the target.
    pub has_key: bool,
    /// When the target received the request.
    pub at: Instant,
}

/// Requests as observed by callers and by targets.
#[derive(Debug, Default)]
pub struct Observations {
    requests: Mutex<Vec<RequestRecord>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Observations {
    /// Records a finished request.
    pub fn record_request(&self, request: RequestRecord) {
        lock(&self.requests).push(request);
    }

    /// Records that a target starts to execute the request with this id.
    pub fn record_run(&self, id: &str, run: Run) {
        lock(&self.runs).entry(id.to_owned()).or_default().push(run);
    }

    /// Returns all finished requests in the order in which they ended.
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.requests).clone()
    }

    /// Returns all executions by targets, by the id of the request.
    pub fn runs(&self) -> HashMap<String, Vec<Run>> {
        lock(&self.runs).clone()
    }
}

/// Locks a mutex, also a poisoned one: after a panic of another thread, the run continues with what was
/// recorded.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
