use {
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::RecordPage,
        record::RecordEnvelope,
    },
};

/// Most records on one page.
const PAGE_RECORDS: usize = 500;
/// A page that holds this many bytes takes no further record.
const PAGE_BYTES: usize = 1_000_000;

/// The records as of one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    pub revision: Revision,
    records: BTreeMap<Revision, RecordEnvelope>,
    revisions: HashMap<RecordKey, Revision>,
    /// Changes up to here are no longer told apart.
    forgotten: Revision,
}

impl View {
    pub fn put(&mut self, record: &RecordEnvelope) {
        self.revision = record.revision;
        if let Some(former) = self.revisions.insert(record.key.clone(), record.revision) {
            self.records.remove(&former);
        }
        self.records.insert(record.revision, record.clone());
    }

    pub fn forget_history(&mut self, drop_tombstones: bool) {
        self.forgotten = self.revision;
        if drop_tombstones {
            self.records
                .retain(|_revision, record| record.value.is_some());
        }
    }

    /// The next page after a revision; `None` if the history since then is gone.
    pub fn page(&self, after: Revision) -> Option<RecordPage> {
        // Pages of a full read go on below the forgotten revision.
        let known = after.0 == 0 || after >= self.forgotten || self.records.contains_key(&after);
        let mut page = RecordPage {
            revision: self.revision,
            records: Vec::new(),
            more: false,
        };
        let mut bytes = 0;
        for (_revision, record) in self.records.range(Revision(after.0 + 1)..) {
            page.more = page.records.len() == PAGE_RECORDS || bytes >= PAGE_BYTES;
            if page.more {
                break;
            }
            bytes += record.value.as_ref().map_or(0, |value| value.len());
            page.records.push(record.clone());
        }
        known.then_some(page)
    }
}
