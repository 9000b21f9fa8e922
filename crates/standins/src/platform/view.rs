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

/// The history that was asked for is gone.
#[derive(Debug)]
pub struct HistoryGone;

impl View {
    pub fn as_of(revision: Revision, log: &[RecordEnvelope]) -> Self {
        let mut view = Self::default();
        log.iter()
            .filter(|record| record.revision <= revision)
            .for_each(|record| view.put(record.clone()));
        view
    }

    pub fn put(&mut self, record: RecordEnvelope) {
        let revision = record.revision;
        if let Some(former) = self.revisions.insert(record.key.clone(), revision) {
            self.records.remove(&former);
        }
        self.records.insert(revision, record);
        self.revision = revision;
    }

    pub fn forget_history(&mut self, drop_tombstones: bool) {
        self.forgotten = self.revision;
        if drop_tombstones {
            self.records
                .retain(|_revision, record| record.value.is_some());
            let records = &self.records;
            self.revisions
                .retain(|_key, revision| records.contains_key(revision));
        }
    }

    /// The next page after a revision.
    pub fn page(&self, after: Revision) -> Result<RecordPage, HistoryGone> {
        let known = after.0 == 0 || after >= self.forgotten;
        // Pages of a full read go on below the forgotten revision.
        if !known && !self.records.contains_key(&after) {
            return Err(HistoryGone);
        }
        let mut page = RecordPage {
            revision: self.revision,
            records: Vec::new(),
            more: false,
        };
        let mut bytes = 0;
        for record in self
            .records
            .range(Revision(after.0 + 1)..)
            .map(|(_revision, record)| record)
        {
            if page.records.len() == PAGE_RECORDS || bytes >= PAGE_BYTES {
                page.more = true;
                break;
            }
            bytes += record.value.as_ref().map_or(0, |value| value.len());
            page.records.push(record.clone());
        }
        Ok(page)
    }
}
