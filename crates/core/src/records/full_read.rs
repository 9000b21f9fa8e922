use {
    std::collections::HashSet,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::RecordPage,
    },
};

/// Reason to read all records again. The later variant includes the earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FullReason {
    /// The platform may have been restored to an older state, or have returned from one.
    PossibleRollback,
    /// The platform dropped history that this daemon hadn't read, which may include deletions.
    HistoryLost,
}

/// Keys seen in a read of all records, page by page.
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

    /// Returns the platform's revision at the last page. Pages come in order of revisions, so a
    /// record of this revision or an earlier one is on one of them unless it was changed or
    /// deleted.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Returns whether the platform has a record under a key.
    pub fn contains(&self, key: &RecordKey) -> bool {
        self.keys.contains(key)
    }
}
