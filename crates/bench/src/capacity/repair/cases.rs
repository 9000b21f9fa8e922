use {
    super::side::Side,
    crate::capacity::{
        fleet::{Published, PublishedSize, account_key, account_value, envelope},
        size::{ACCOUNTS, TARGETS},
    },
    serde::Serialize,
    std::collections::BTreeSet,
};

/// Seed of the choice of scattered keys.
const SEED: u64 = 7;

/// Where the keys that differ lie.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Adjacent keys.
    Clustered,
    /// Keys drawn at random.
    Scattered,
}

/// Which side holds the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Holder {
    /// One side read the platform all the time; the other holds a prefix of the history.
    One,
    /// Each side holds changes that the other lacks; their revisions alternate.
    Both,
}

/// Two sides that differ.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Records that differ.
    pub differences: usize,
    /// Where their keys lie.
    pub spread: Spread,
    /// Which side holds the changes.
    pub holder: Holder,
}

impl Case {
    /// The records of both sides.
    pub fn sides(self) -> (Side, Side) {
        let published = Published::of(PublishedSize {
            daemons: 0,
            targets: TARGETS,
            accounts: ACCOUNTS,
        });
        let newest = published.newest().0;
        let mut a = Side::default();
        a.merge(published.records);
        let mut b = a.clone();
        for (change, account) in self.accounts().into_iter().enumerate() {
            let revision = newest + change as u64 + 1;
            let value = account_value(account, revision);
            let record = envelope(&account_key(account), revision, &value);
            let at_b = self.holder == Holder::Both && !change.is_multiple_of(2);
            let side = if at_b { &mut b } else { &mut a };
            side.merge(vec![record]);
        }
        (a, b)
    }

    /// Accounts that differ, in the order of their changes.
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
