use {
    serde::Serialize,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// What a request is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// A call that may be repeated.
    Safe,
    /// A call that runs once at most.
    Unsafe,
    /// A prompt whose answer is a stream that may be resumed.
    Stream,
    /// A call of a route that one version of the configuration has.
    Probe {
        /// The version.
        version: u64,
    },
}

/// One run of an instance's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct InstanceRun {
    /// Which instance.
    pub instance: usize,
    /// How often it was started.
    pub starts: u32,
}

/// What a caller saw of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// The request could not be sent whole.
    NotSent,
    /// The connection ended without an answer.
    Closed,
    /// Nothing came for far longer than the request had.
    Silent,
    /// The caller left.
    Left,
    /// An answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it bears a target's seal.
        is_sealed: bool,
        /// Whether its framing says that it is whole.
        is_whole: bool,
        /// Its body.
        body: String,
    },
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// What it is about.
    pub kind: Kind,
    /// Its path.
    pub path: String,
    /// The run that it was sent to, if the same run was there at its end.
    pub run: Option<InstanceRun>,
    /// Whether its connection had carried a request before.
    pub was_kept: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer had come.
    pub ended_at: Instant,
    /// Whether the answer says that its target leaves.
    pub names_leaving: bool,
    /// What the caller saw.
    pub outcome: Outcome,
}

/// A run of a request at a target.
#[derive(Debug, Clone)]
pub struct Run {
    /// The target.
    pub target: String,
    /// Path with which it came.
    pub path: String,
    /// Client account with which it came.
    pub account: String,
    /// Whether it came with a caller's key.
    pub has_key: bool,
    /// When it came.
    pub at: Instant,
}

/// What callers and targets saw.
#[derive(Debug, Default)]
pub struct Ledger {
    asked: Mutex<Vec<Asked>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Ledger {
    /// Notes a request that is over.
    pub fn note_asked(&self, asked: Asked) {
        lock(&self.asked).push(asked);
    }

    /// Notes a request that a target begins to work on.
    pub fn note_run(&self, id: &str, run: Run) {
        lock(&self.runs).entry(id.to_owned()).or_default().push(run);
    }

    /// All requests that are over.
    pub fn asked(&self) -> Vec<Asked> {
        lock(&self.asked).clone()
    }

    /// All runs by request.
    pub fn runs(&self) -> HashMap<String, Vec<Run>> {
        lock(&self.runs).clone()
    }
}

/// Locks, also after a panic of another holder: the ledger goes on with what it has.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
