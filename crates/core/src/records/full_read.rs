use {
    std::collections::HashSet,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::RecordPage,
    },
};

/// Why all records are read again. The later reason includes the earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FullReason {
    /// The platform may have gone back, or back to normal.
    Doubt,
    /// The platform forgot changes, deletions maybe, which this daemon hadn't read.
    HistoryLost,
}

/// The keys seen in a read of all records, page by page.
#[derive(Debug)]
pub struct FullRead {
    keys: HashSet<RecordKey>,
    as_of: Revision,
    reason: FullReason,
}

impl FullRead {
    pub(super) fn new(reason: FullReason) -> Self {
        Self {
            keys: HashSet::new(),
            as_of: Revision::default(),
            reason,
        }
    }

    pub(super) fn reason(&self) -> FullReason {
        self.reason
    }

    pub(super) fn add(&mut self, page: &RecordPage) {
        let keys = page.records.iter().map(|record| record.key.clone());
        self.keys.extend(keys);
        self.as_of = page.revision;
    }

    /// Revision of the platform when the last page was read. Pages come in order of revisions, so
    /// a record of this revision or before is on one of them, unless it was changed or deleted.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Whether the platform has something under a key.
    pub fn contains(&self, key: &RecordKey) -> bool {
        self.keys.contains(key)
    }
}
