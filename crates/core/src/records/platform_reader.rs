use {
    super::{FullRead, full_read::FullReason, read_budget::ReadBudget},
    crate::time::MonoMs,
    whinlatch_wire::{ids::Revision, platform::RecordPage},
};

/// Time for which a watch of the records waits for changes, in ms.
const WATCH_WAIT_MS: u64 = 20_000;
/// Time between reads of the list of instances by a watcher, in ms.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Mean time between reads by a daemon that isn't a watcher, in ms; drawn from half to one and a
/// half of it.
const BACKSTOP_INTERVAL_MS: u64 = 30_000;
/// Base of the wait before a failed read is retried, in ms; doubled with each consecutive failure.
const BASE_RETRY_MS: u64 = 200;
/// Maximum wait before a failed read is retried, in ms.
const MAX_RETRY_MS: u64 = 5_000;
/// Duration of an outage, in ms, after which the platform may have been restored from a copy.
const MIN_RESTORE_OUTAGE_MS: u64 = 10_000;
/// Minimum time between the starts of two full reads, in ms.
const MIN_FULL_READ_INTERVAL_MS: u64 = 10_000;
/// Time after which an unanswered read counts as failed, in ms. Longer than a watch may wait.
const READ_TIMEOUT_MS: u64 = WATCH_WAIT_MS + 10_000;

/// Role of a daemon in reading the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Watches the records, reads the list continuously, and passes on changes to peers.
    Watcher,
    /// Receives both from peers, and reads only occasionally in case that fails.
    Backstop,
}

/// A read of the platform to start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRead {
    /// Reads records changed after a revision.
    Records {
        /// Last revision already read; zero reads all records.
        after: Revision,
        /// Time to wait for a change, in ms; zero answers immediately.
        wait_ms: u64,
    },
    /// Reads the list of instances.
    List,
}

/// Schedules reads of the platform and decides whether their answers can be trusted.
///
/// The platform may come back from an outage in an older state. Its records can't undo anything,
/// since merging records is a join. But a watch that continues after a revision which the platform
/// hasn't reached yet misses what is published up to that revision. So all records are read again
/// when the reported revision goes back, when it is back to normal, and after any outage long
/// enough to restore a copy.
#[derive(Debug)]
pub struct PlatformReader {
    after: Revision,
    records: ReadSchedule,
    list: ReadSchedule,
    consecutive_failures: u32,
    budget: ReadBudget,
    full_read: Option<FullRead>,
    pending_full_read: Option<FullReason>,
    full_read_started_at: Option<MonoMs>,
    highest_revision: Revision,
    is_rolled_back: bool,
    absence_trusted: bool,
    unreachable_since: Option<MonoMs>,
    role: ReaderRole,
    /// Reads started so far.
    pub reads: u64,
    /// Time of the last answer; `None` before the first.
    pub last_answered_at: Option<MonoMs>,
    /// Whether the last finished read was answered; false before the first.
    pub reachable: bool,
}

/// State of one kind of read.
#[derive(Debug, Clone, Copy)]
enum ReadSchedule {
    Due(MonoMs),
    InFlight(MonoMs),
}

impl ReadSchedule {
    fn is_due(self, now: MonoMs) -> bool {
        match self {
            Self::Due(due) => due <= now,
            // Neither an answer nor a failure arrived: the read is lost.
            Self::InFlight(since) => now.since(since) > READ_TIMEOUT_MS,
        }
    }

    fn bring_forward(&mut self, due: MonoMs) {
        if let Self::Due(at) = self {
            *at = (*at).min(due);
        }
    }
}

impl PlatformReader {
    /// Creates a reader that starts with a full read.
    pub fn new(now: MonoMs) -> Self {
        Self {
            after: Revision::default(),
            records: ReadSchedule::Due(now),
            list: ReadSchedule::Due(now),
            consecutive_failures: 0,
            budget: ReadBudget::new(now),
            full_read: None,
            pending_full_read: Some(FullReason::PossibleRollback),
            full_read_started_at: None,
            highest_revision: Revision::default(),
            is_rolled_back: false,
            absence_trusted: true,
            unreachable_since: None,
            role: ReaderRole::Watcher,
            reads: 0,
            last_answered_at: None,
            reachable: false,
        }
    }

    /// Returns the reads to start now, within this daemon's share of the budget.
    pub fn due_reads(
        &mut self,
        now: MonoMs,
        role: ReaderRole,
        reads_per_s: f64,
    ) -> Vec<PlatformRead> {
        if self.role != role && role == ReaderRole::Watcher {
            // This daemon was elected, perhaps since a watcher died: start reading without delay.
            self.records.bring_forward(now);
            self.list.bring_forward(now);
        }
        self.role = role;
        let mut reads = Vec::new();
        if self.list.is_due(now) && self.budget.take(now, reads_per_s) {
            self.list = ReadSchedule::InFlight(now);
            reads.push(PlatformRead::List);
        }
        if self.records.is_due(now) && self.budget.take(now, reads_per_s) {
            self.absence_trusted &= matches!(self.records, ReadSchedule::Due(_));
            self.records = ReadSchedule::InFlight(now);
            reads.push(self.records_read(now));
        }
        self.reads += reads.len() as u64;
        reads
    }

    fn records_read(&mut self, now: MonoMs) -> PlatformRead {
        let may_start = self
            .full_read_started_at
            .is_none_or(|started_at| now.since(started_at) >= MIN_FULL_READ_INTERVAL_MS);
        if may_start && let Some(reason) = self.pending_full_read.take() {
            self.full_read_started_at = Some(now);
            self.full_read = Some(FullRead::new(reason));
            self.after = Revision::default();
        }
        let immediate = self.full_read.is_some() || self.role == ReaderRole::Backstop;
        PlatformRead::Records {
            after: self.after,
            wait_ms: if immediate { 0 } else { WATCH_WAIT_MS },
        }
    }

    /// Applies a page of records. Returns the full read that it completes, if any.
    pub fn on_page(
        &mut self,
        now: MonoMs,
        page: &RecordPage,
        rng: &mut fastrand::Rng,
    ) -> Option<FullRead> {
        self.on_success(now);
        self.check_revision(page.revision);
        self.after = match page.records.last() {
            Some(last) if page.more => last.revision,
            _ => page.revision,
        };
        let more_to_read = page.more || self.pending_full_read.is_some();
        self.records = ReadSchedule::Due(match self.role {
            ReaderRole::Backstop if !more_to_read => now + backstop_wait_ms(rng),
            _ => now,
        });
        let full = self.full_read.as_mut()?;
        full.add(page);
        if page.more {
            None
        } else {
            self.full_read.take()
        }
    }

    fn check_revision(&mut self, revision: Revision) {
        let is_rolled_back = revision < self.highest_revision;
        if is_rolled_back != self.is_rolled_back {
            self.request_full_read(FullReason::PossibleRollback);
        }
        self.is_rolled_back = is_rolled_back;
        self.absence_trusted &= !is_rolled_back;
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// Returns whether a key that is absent from a full read was deleted.
    ///
    /// This holds only if the platform reported that it dropped history which this daemon hadn't
    /// read; otherwise the tombstone would have arrived. Absence from any other full read may be
    /// data loss of a platform that was restored from a copy. It never holds once the platform was
    /// seen in an older state, nor once a read was given up unanswered, since its answer may arrive
    /// late and be taken for a page of a full read.
    pub fn absence_is_deletion(&self, full: &FullRead) -> bool {
        self.absence_trusted && full.reason() == FullReason::HistoryLost
    }

    /// Requests a full read that finds deletions by absence; it starts once the minimum interval
    /// between full reads allows.
    pub fn request_deletion_scan(&mut self) {
        self.request_full_read(FullReason::HistoryLost);
    }

    fn request_full_read(&mut self, reason: FullReason) {
        self.pending_full_read = self.pending_full_read.max(Some(reason));
    }

    /// Handles the answer that the platform no longer has the history after the requested revision.
    pub fn on_history_gone(&mut self, now: MonoMs) {
        self.on_success(now);
        self.full_read = None;
        self.request_full_read(FullReason::HistoryLost);
        self.full_read_started_at = None;
        self.records = ReadSchedule::Due(now);
    }

    /// Records that the list was read.
    pub fn on_list(&mut self, now: MonoMs, rng: &mut fastrand::Rng) {
        self.on_success(now);
        let wait_ms = match self.role {
            ReaderRole::Watcher => LIST_INTERVAL_MS,
            ReaderRole::Backstop => backstop_wait_ms(rng),
        };
        self.list = ReadSchedule::Due(now + wait_ms);
    }

    /// Records that a read of the records failed; a full read starts over.
    pub fn on_records_failed(&mut self, now: MonoMs, rng: &mut fastrand::Rng) {
        if let Some(full) = self.full_read.take() {
            self.request_full_read(full.reason());
            self.full_read_started_at = None;
        }
        self.records = ReadSchedule::Due(now + self.on_failure(now, rng));
    }

    /// Records that a read of the list failed.
    pub fn on_list_failed(&mut self, now: MonoMs, rng: &mut fastrand::Rng) {
        self.list = ReadSchedule::Due(now + self.on_failure(now, rng));
    }

    fn on_success(&mut self, now: MonoMs) {
        let unreachable_since = self.unreachable_since.take();
        if unreachable_since.is_some_and(|since| now.since(since) > MIN_RESTORE_OUTAGE_MS) {
            self.request_full_read(FullReason::PossibleRollback);
        }
        self.consecutive_failures = 0;
        self.last_answered_at = Some(now);
        self.reachable = true;
    }

    /// Records a failure. Returns the time to wait before the retry, in ms, with jitter so that
    /// daemons don't all return at the same moment.
    fn on_failure(&mut self, now: MonoMs, rng: &mut fastrand::Rng) -> u64 {
        self.reachable = false;
        self.unreachable_since.get_or_insert(now);
        self.consecutive_failures = (self.consecutive_failures + 1).min(8);
        let max_wait_ms = (BASE_RETRY_MS << self.consecutive_failures).min(MAX_RETRY_MS);
        rng.u64(max_wait_ms / 2..=max_wait_ms)
    }
}

fn backstop_wait_ms(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(BACKSTOP_INTERVAL_MS / 2..=BACKSTOP_INTERVAL_MS * 3 / 2)
}
