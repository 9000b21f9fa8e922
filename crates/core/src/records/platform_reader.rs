use {
    super::{FullRead, full_read::FullReason, read_budget::ReadBudget},
    crate::time::MonoMs,
    whinlatch_wire::{ids::Revision, platform::RecordPage},
};

/// How long a watch of the records waits, in ms.
const WATCH_MS: u64 = 20_000;
/// Time between reads of the list by a watcher, in ms.
const LIST_EVERY_MS: u64 = 1_000;
/// Time between reads by a daemon that isn't a watcher, in ms; drawn from half to one and a half.
const BACKSTOP_EVERY_MS: u64 = 30_000;
/// Time before a failed read is tried again, in ms, doubled with each failure.
const RETRY_MS: u64 = 200;
/// Longest time before a failed read is tried again, in ms.
const MAX_RETRY_MS: u64 = 5_000;
/// Time without an answer after which the platform may come back restored from a copy, in ms.
const OUTAGE_MS: u64 = 10_000;
/// Least time between the starts of two full reads, in ms.
const FULL_READ_GAP_MS: u64 = 10_000;
/// Time after which a read that was never answered counts as failed, in ms.
const LOST_READ_MS: u64 = WATCH_MS + 10_000;

/// What a daemon does about the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Watches the records and reads the list all the time, and passes on what is new.
    Watcher,
    /// Gets both from peers and reads only now and then, in case that fails.
    Backstop,
}

/// A read to make now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRead {
    /// Records after a revision.
    Records {
        /// The revision.
        after: Revision,
        /// Wait this long for news, in ms.
        wait_ms: u64,
    },
    /// The list of instances.
    List,
}

/// When to read what from the platform, and whether it can be believed.
///
/// The platform may come back from an outage in an older state. Its records can't take anything
/// back, since a record's value is a join. But a watch that goes on after a revision which the
/// platform hasn't reached yet misses what is published up to there. So when the reported revision
/// goes back, when it is back to normal, and after any outage long enough to restore a copy, all
/// records are read again.
#[derive(Debug)]
pub struct PlatformReader {
    after: Revision,
    records: Pace,
    list: Pace,
    failures: u32,
    budget: ReadBudget,
    full: Option<FullRead>,
    full_wanted: Option<FullReason>,
    full_began: Option<MonoMs>,
    highest: Revision,
    behind: bool,
    believed: bool,
    lost_since: Option<MonoMs>,
    role: ReaderRole,
    /// Reads so far.
    pub reads: u64,
    /// When the last read was answered.
    pub answered: Option<MonoMs>,
    /// Whether the last read was answered.
    pub reachable: bool,
}

/// When one kind of read is due.
#[derive(Debug, Clone, Copy)]
enum Pace {
    Due(MonoMs),
    InFlight(MonoMs),
}

impl Pace {
    fn is_due(self, now: MonoMs) -> bool {
        match self {
            Self::Due(due) => due <= now,
            // Neither an answer nor a failure came: the read is lost.
            Self::InFlight(since) => now.since(since) > LOST_READ_MS,
        }
    }

    fn hasten(&mut self, due: MonoMs) {
        if let Self::Due(at) = self {
            *at = (*at).min(due);
        }
    }
}

impl PlatformReader {
    /// Reads everything first.
    pub fn new(now: MonoMs) -> Self {
        Self {
            after: Revision::default(),
            records: Pace::Due(now),
            list: Pace::Due(now),
            failures: 0,
            budget: ReadBudget::new(now),
            full: None,
            full_wanted: Some(FullReason::Doubt),
            full_began: None,
            highest: Revision::default(),
            behind: false,
            believed: true,
            lost_since: None,
            role: ReaderRole::Watcher,
            reads: 0,
            answered: None,
            reachable: false,
        }
    }

    /// Reads to make now, within this daemon's share of the budget.
    pub fn due(&mut self, now: MonoMs, role: ReaderRole, reads_per_s: f64) -> Vec<PlatformRead> {
        if self.role != role && role == ReaderRole::Watcher {
            // A watcher died: take its place at once.
            self.records.hasten(now);
            self.list.hasten(now);
        }
        self.role = role;
        let mut reads = Vec::new();
        if self.list.is_due(now) && self.budget.take(now, reads_per_s) {
            self.list = Pace::InFlight(now);
            reads.push(PlatformRead::List);
        }
        if self.records.is_due(now) && self.budget.take(now, reads_per_s) {
            self.believed &= matches!(self.records, Pace::Due(_));
            self.records = Pace::InFlight(now);
            reads.push(self.records_read(now));
        }
        self.reads += reads.len() as u64;
        reads
    }

    fn records_read(&mut self, now: MonoMs) -> PlatformRead {
        let may_begin = self
            .full_began
            .is_none_or(|began| now.since(began) >= FULL_READ_GAP_MS);
        if may_begin && let Some(reason) = self.full_wanted.take() {
            self.full_began = Some(now);
            self.full = Some(FullRead::new(reason));
            self.after = Revision::default();
        }
        let at_once = self.full.is_some() || self.role == ReaderRole::Backstop;
        PlatformRead::Records {
            after: self.after,
            wait_ms: if at_once { 0 } else { WATCH_MS },
        }
    }

    /// Takes in a page of records. Returns the full read that it completes, if any.
    pub fn on_page(
        &mut self,
        now: MonoMs,
        page: &RecordPage,
        rng: &mut fastrand::Rng,
    ) -> Option<FullRead> {
        self.succeeded(now);
        self.note_revision(page.revision);
        self.after = match page.records.last() {
            Some(last) if page.more => last.revision,
            _ => page.revision,
        };
        let pages_left = page.more || self.full_wanted.is_some();
        self.records = Pace::Due(match self.role {
            ReaderRole::Backstop if !pages_left => now + backstop_ms(rng),
            _ => now,
        });
        let full = self.full.as_mut()?;
        full.add(page);
        if page.more { None } else { self.full.take() }
    }

    fn note_revision(&mut self, revision: Revision) {
        let behind = revision < self.highest;
        if behind != self.behind {
            self.want_full(FullReason::Doubt);
        }
        self.behind = behind;
        self.believed &= !behind;
        self.highest = self.highest.max(revision);
    }

    /// Whether an absent key in a full read means that the record was deleted. Only where the
    /// platform said that it forgot changes which this daemon hadn't read: else the tombstone would
    /// have come. Absence in any other full read may be the loss of a platform that was restored
    /// from a copy. Nor if the platform was ever seen in an older state, or if an answer was ever
    /// given up, since it may come late and be taken for a page of a full read.
    pub fn absence_is_deletion(&self, full: &FullRead) -> bool {
        self.believed && full.reason() == FullReason::HistoryLost
    }

    /// All records are to be read again, as soon as the gap between two full reads allows, to find
    /// what was deleted.
    pub fn read_all_again(&mut self) {
        self.want_full(FullReason::HistoryLost);
    }

    fn want_full(&mut self, reason: FullReason) {
        self.full_wanted = self.full_wanted.max(Some(reason));
    }

    /// The history that was asked for is gone.
    pub fn on_history_gone(&mut self, now: MonoMs) {
        self.succeeded(now);
        self.full = None;
        self.want_full(FullReason::HistoryLost);
        self.full_began = None;
        self.records = Pace::Due(now);
    }

    /// Takes in an answer with the list.
    pub fn on_list(&mut self, now: MonoMs, rng: &mut fastrand::Rng) {
        self.succeeded(now);
        let wait_ms = match self.role {
            ReaderRole::Watcher => LIST_EVERY_MS,
            ReaderRole::Backstop => backstop_ms(rng),
        };
        self.list = Pace::Due(now + wait_ms);
    }

    /// A read of the records failed.
    pub fn records_failed(&mut self, now: MonoMs, rng: &mut fastrand::Rng) {
        if let Some(full) = self.full.take() {
            self.want_full(full.reason());
            self.full_began = None;
        }
        self.records = Pace::Due(now + self.failed(now, rng));
    }

    /// A read of the list failed.
    pub fn list_failed(&mut self, now: MonoMs, rng: &mut fastrand::Rng) {
        self.list = Pace::Due(now + self.failed(now, rng));
    }

    fn succeeded(&mut self, now: MonoMs) {
        let lost_since = self.lost_since.take();
        if lost_since.is_some_and(|since| now.since(since) > OUTAGE_MS) {
            self.want_full(FullReason::Doubt);
        }
        self.failures = 0;
        self.answered = Some(now);
        self.reachable = true;
    }

    /// Time to wait after a failure, with jitter so that daemons don't come back all at once.
    fn failed(&mut self, now: MonoMs, rng: &mut fastrand::Rng) -> u64 {
        self.reachable = false;
        self.lost_since.get_or_insert(now);
        self.failures = (self.failures + 1).min(8);
        let full_ms = (RETRY_MS << self.failures).min(MAX_RETRY_MS);
        rng.u64(full_ms / 2..=full_ms)
    }
}

fn backstop_ms(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(BACKSTOP_EVERY_MS / 2..=BACKSTOP_EVERY_MS * 3 / 2)
}
