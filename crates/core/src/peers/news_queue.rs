use {
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{AccountName, Incarnation, TargetName},
        peer::{AccountUse, MemberNews, News, PoisonNews, TargetLoad, TargetNews},
    },
};

/// Most subjects of one kind that wait for one link. What is over is not queued: members are
/// repaired by stamps, targets by the list and their own reports, the rest is stated again.
const MOST_WAITING: usize = 4_096;
/// Most items of one kind in one frame.
const MOST_IN_FRAME: usize = 256;

/// News that waits for a link: the latest statement about each subject. A link that is slow or
/// silent holds a bounded amount, however long it lasts.
#[derive(Debug, Default)]
pub struct NewsQueue {
    members: BTreeMap<Incarnation, MemberNews>,
    targets: BTreeMap<(TargetName, Incarnation), TargetNews>,
    loads: BTreeMap<(Incarnation, TargetName), TargetLoad>,
    accounts: BTreeMap<(Incarnation, AccountName), AccountUse>,
    poison: BTreeMap<u64, PoisonNews>,
}

impl NewsQueue {
    /// Queues news; a newer statement takes the place of an older one.
    pub fn put(&mut self, news: &News) {
        for item in &news.members {
            put(&mut self.members, item.incarnation, item, |held| {
                (held.version, held.state) < (item.version, item.state)
            });
        }
        for item in &news.targets {
            let subject = (item.target.clone(), item.incarnation);
            put(&mut self.targets, subject, item, |held| {
                held.health < item.health
            });
        }
        for item in &news.loads {
            let subject = (item.origin, item.target.clone());
            put(&mut self.loads, subject, item, |held| {
                held.number < item.number
            });
        }
        for item in &news.accounts {
            let subject = (item.origin, item.account.clone());
            put(&mut self.accounts, subject, item, |held| {
                held.number < item.number
            });
        }
        for item in &news.poison {
            put(&mut self.poison, item.fingerprint, item, |held| {
                held.deaths.len() <= item.deaths.len()
            });
        }
    }

    /// Whether something waits that can't wait for the next heartbeat.
    pub fn is_urgent(&self) -> bool {
        !(self.members.is_empty() && self.targets.is_empty() && self.poison.is_empty())
    }

    /// Takes what fits into one frame.
    pub fn take(&mut self) -> News {
        News {
            members: take(&mut self.members),
            targets: take(&mut self.targets),
            loads: take(&mut self.loads),
            accounts: take(&mut self.accounts),
            poison: take(&mut self.poison),
        }
    }

    /// Subjects that wait.
    pub fn len(&self) -> usize {
        self.members.len()
            + self.targets.len()
            + self.loads.len()
            + self.accounts.len()
            + self.poison.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn put<K: Ord, V: Clone>(
    queue: &mut BTreeMap<K, V>,
    subject: K,
    item: &V,
    is_older: impl Fn(&V) -> bool,
) {
    let replaces = queue.get(&subject).map(is_older);
    if replaces.unwrap_or(queue.len() < MOST_WAITING) {
        queue.insert(subject, item.clone());
    }
}

fn take<K: Ord, V>(queue: &mut BTreeMap<K, V>) -> Vec<V> {
    let mut taken = Vec::new();
    while taken.len() < MOST_IN_FRAME
        && let Some((_, item)) = queue.pop_first()
    {
        taken.push(item);
    }
    taken
}
