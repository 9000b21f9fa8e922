use {
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::RecordPage,
        record::RecordEnvelope,
    },
};

/// Maximum number of records on one page.
const MAX_PAGE_RECORDS: usize = 500;
/// Size of the values, in bytes, from which no further record is added to a page.
const FULL_PAGE_BYTES: usize = 1_000_000;

/// Records as of one revision.
#[derive(Debug, Clone, Default)]
pub struct RecordsView {
    pub revision: Revision,
    records: BTreeMap<Revision, RecordEnvelope>,
    revisions: HashMap<RecordKey, Revision>,
    /// Revision up to which the history of changes was dropped.
    forgotten_until: Revision,
}

impl RecordsView {
    pub fn put(&mut self, record: &RecordEnvelope) {
        self.revision = record.revision;
        if let Some(previous) = self.revisions.insert(record.key.clone(), record.revision) {
            self.records.remove(&previous);
        }
        self.records.insert(record.revision, record.clone());
    }

    pub fn forget_history(&mut self, drop_tombstones: bool) {
        self.forgotten_until = self.revision;
        if drop_tombstones {
            self.records
                .retain(|_revision, record| record.value.is_some());
        }
    }

    /// Returns the next page after a revision; `None` if the history since then was dropped.
    pub fn page(&self, after: Revision) -> Option<RecordPage> {
        // A full read continues after the last record of the previous page, whose revision may be below
        // `forgotten_until`.
        let is_known =
            after.0 == 0 || after >= self.forgotten_until || self.records.contains_key(&after);
        let mut page = RecordPage {
            revision: self.revision,
            records: Vec::new(),
            more: false,
        };
        let mut bytes = 0;
        for (_revision, record) in self.records.range(Revision(after.0 + 1)..) {
            page.more = page.records.len() == MAX_PAGE_RECORDS || bytes >= FULL_PAGE_BYTES;
            if page.more {
                break;
            }
            bytes += record.value.as_ref().map_or(0, |value| value.len());
            page.records.push(record.clone());
        }
        is_known.then_some(page)
    }
}
