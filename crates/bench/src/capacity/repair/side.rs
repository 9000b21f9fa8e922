use {
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        record::RecordEnvelope,
    },
};

/// The records that one daemon holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Side {
    records: BTreeMap<RecordKey, RecordEnvelope>,
}

impl Side {
    /// Takes in records; of two revisions of a key the higher wins.
    pub fn merge(&mut self, records: Vec<RecordEnvelope>) {
        for record in records {
            let held = self.records.get(&record.key);
            if held.is_none_or(|held| held.revision < record.revision) {
                self.records.insert(record.key.clone(), record);
            }
        }
    }

    /// Highest revision held.
    pub fn newest(&self) -> Revision {
        let revisions = self.records.values().map(|record| record.revision);
        revisions.max().unwrap_or_default()
    }

    /// Records newer than `revision`.
    pub fn after(&self, revision: Revision) -> Vec<RecordEnvelope> {
        let newer = self.records.values().filter(|r| r.revision > revision);
        newer.cloned().collect()
    }

    /// The records by key.
    pub fn records(&self) -> impl Iterator<Item = &RecordEnvelope> {
        self.records.values()
    }

    /// Records that another side holds in a newer revision, or alone.
    pub fn missing_from(&self, other: &Self) -> usize {
        other
            .records()
            .filter(|theirs| {
                let held = self.records.get(&theirs.key);
                held.is_none_or(|held| held.revision < theirs.revision)
            })
            .count()
    }
}
