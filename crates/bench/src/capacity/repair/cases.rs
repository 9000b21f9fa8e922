use {
    super::replica::Replica,
    crate::capacity::{
        fleet::{Published, PublishedSize, account_key, account_value, envelope},
        size::{ACCOUNTS, TARGETS},
    },
    serde::Serialize,
    std::collections::BTreeSet,
};

/// Seed for the choice of scattered keys.
const SEED: u64 = 7;

/// Distribution of the keys that differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Adjacent keys.
    Clustered,
    /// Keys drawn at random.
    Scattered,
}

/// Replicas that have the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Holder {
    /// One replica kept reading the platform; the records of the other are a prefix of the history.
    One,
    /// Each replica has changes that the other lacks: they alternate in order of revision.
    Both,
}

/// Two replicas that differ.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Number of records that differ.
    pub differences: usize,
    /// Distribution of their keys.
    pub spread: Spread,
    /// Replicas that have the changes.
    pub holder: Holder,
}

impl Case {
    /// Creates both replicas.
    pub fn replicas(self) -> (Replica, Replica) {
        let published = Published::new(PublishedSize {
            daemons: 0,
            targets: TARGETS,
            accounts: ACCOUNTS,
        });
        let newest = published.newest_revision().0;
        let mut a = Replica::default();
        a.merge(published.records);
        let mut b = a.clone();
        for (change, account) in self.accounts().into_iter().enumerate() {
            let revision = newest + change as u64 + 1;
            let value = account_value(account, revision);
            let record = envelope(&account_key(account), revision, &value);
            let is_for_b = self.holder == Holder::Both && !change.is_multiple_of(2);
            let replica = if is_for_b { &mut b } else { &mut a };
            replica.merge(vec![record]);
        }
        (a, b)
    }

    /// Returns the accounts that differ, in the order of their changes.
    fn accounts(self) -> Vec<usize> {
        match self.spread {
            Spread::Clustered => {
                let first = (ACCOUNTS - self.differences) / 2;
                (first..first + self.differences).collect()
            }
            Spread::Scattered => {
                let mut rng = fastrand::Rng::with_seed(SEED);
                let mut chosen = BTreeSet::new();
                let mut order = Vec::new();
                while order.len() < self.differences {
                    let account = rng.usize(0..ACCOUNTS);
                    if chosen.insert(account) {
                        order.push(account);
                    }
                }
                order
            }
        }
    }
}
