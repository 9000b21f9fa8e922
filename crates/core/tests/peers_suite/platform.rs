//! In-memory platform service: records with history, a list of instances, and injectable failures.

use whinlatch_wire::{
    ids::{RecordKey, Revision},
    platform::{InstanceList, RecordPage},
    record::RecordEnvelope,
};

/// Response of the platform to a read of records.
#[derive(Debug)]
pub enum Answer {
    Page(RecordPage),
    HistoryGone,
    Unreachable,
}

#[derive(Debug, Clone, Default)]
pub struct Platform {
    pub revision: u64,
    pub records: Vec<RecordEnvelope>,
    pub list: InstanceList,
    pub down: bool,
    /// Reads after a revision below this one get `410`; tombstones below it are dropped.
    pub history_starts_at: u64,
    pub reads: u64,
    pub page_records: usize,
}

impl Platform {
    pub fn publish(&mut self, key: &str, value: &str) -> u64 {
        self.put(key, Some(value.into()))
    }

    pub fn delete(&mut self, key: &str) -> u64 {
        self.put(key, None)
    }

    fn put(&mut self, key: &str, value: Option<std::sync::Arc<str>>) -> u64 {
        self.revision += 1;
        self.records.retain(|record| record.key.as_str() != key);
        self.records.push(RecordEnvelope {
            key: RecordKey::new(key),
            revision: Revision(self.revision),
            value,
        });
        self.revision
    }

    /// Drops history and tombstones up to now.
    pub fn compact(&mut self) {
        self.history_starts_at = self.revision;
        self.records.retain(|record| record.value.is_some());
    }

    pub fn read(&self, after: Revision) -> Answer {
        if self.down {
            return Answer::Unreachable;
        }
        if after.0 != 0 && after.0 < self.history_starts_at {
            return Answer::HistoryGone;
        }
        let mut records: Vec<RecordEnvelope> = self
            .records
            .iter()
            .filter(|record| record.revision > after)
            .cloned()
            .collect();
        let more = self.page_records > 0 && records.len() > self.page_records;
        if more {
            records.truncate(self.page_records);
        }
        Answer::Page(RecordPage {
            revision: Revision(self.revision),
            records,
            more,
        })
    }
}
