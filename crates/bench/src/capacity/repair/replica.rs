use {
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        record::RecordEnvelope,
    },
};

/// The records of one daemon.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Replica {
    records: BTreeMap<RecordKey, RecordEnvelope>,
}

impl Replica {
    /// Merges records. Of two revisions of a key, the newer wins.
    pub fn merge(&mut self, records: Vec<RecordEnvelope>) {
        for record in records {
            let own = self.records.get(&record.key);
            if own.is_none_or(|own| own.revision < record.revision) {
                self.records.insert(record.key.clone(), record);
            }
        }
    }

    /// Returns the newest revision, or the default one without records.
    pub fn newest_revision(&self) -> Revision {
        let revisions = self.records.values().map(|record| record.revision);
        revisions.max().unwrap_or_default()
    }

    /// Returns the records newer than `revision`.
    pub fn records_after(&self, revision: Revision) -> Vec<RecordEnvelope> {
        let newer = self.records.values().filter(|r| r.revision > revision);
        newer.cloned().collect()
    }

    /// Returns the records in order of their keys.
    pub fn records(&self) -> impl Iterator<Item = &RecordEnvelope> {
        self.records.values()
    }

    /// Counts the records of another replica that this one lacks or has in an older revision.
    pub fn count_missing(&self, other: &Self) -> usize {
        other
            .records()
            .filter(|theirs| {
                let own = self.records.get(&theirs.key);
                own.is_none_or(|own| own.revision < theirs.revision)
            })
            .count()
    }
}
