use {
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{AccountName, Incarnation, TargetName},
        peer::{AccountUse, MemberNews, News, PoisonNews, TargetLoad, TargetNews},
    },
};

/// Maximum number of subjects of one kind queued for one link. Updates of further subjects are
/// dropped: members are repaired by stamps, targets by the platform's list and their own reports,
/// and the rest is sent again periodically.
const MAX_QUEUED_SUBJECTS: usize = 4_096;
/// Maximum number of items of one kind in one frame.
const MAX_ITEMS_PER_FRAME: usize = 256;

/// News queued for a link, with the latest update about each subject only. So a slow or silent link
/// holds a bounded amount, however long it lasts.
#[derive(Debug, Default)]
pub struct NewsQueue {
    members: BTreeMap<Incarnation, MemberNews>,
    targets: BTreeMap<(TargetName, Incarnation), TargetNews>,
    loads: BTreeMap<(Incarnation, TargetName), TargetLoad>,
    accounts: BTreeMap<(Incarnation, AccountName), AccountUse>,
    poison: BTreeMap<u64, PoisonNews>,
}

impl NewsQueue {
    /// Queues news; a newer update replaces an older one about the same subject.
    pub fn put(&mut self, news: &News) {
        for item in &news.members {
            put(&mut self.members, item.incarnation, item, |queued| {
                (queued.version, queued.state) < (item.version, item.state)
            });
        }
        for item in &news.targets {
            let subject = (item.target.clone(), item.incarnation);
            put(&mut self.targets, subject, item, |queued| {
                queued.health < item.health
            });
        }
        for item in &news.loads {
            let subject = (item.origin, item.target.clone());
            put(&mut self.loads, subject, item, |queued| {
                queued.number < item.number
            });
        }
        for item in &news.accounts {
            let subject = (item.origin, item.account.clone());
            put(&mut self.accounts, subject, item, |queued| {
                queued.number < item.number
            });
        }
        for item in &news.poison {
            put(&mut self.poison, item.fingerprint, item, |queued| {
                queued.deaths.len() <= item.deaths.len()
            });
        }
    }

    /// Returns whether the queue holds news that shouldn't wait for the next heartbeat.
    pub fn is_urgent(&self) -> bool {
        !(self.members.is_empty() && self.targets.is_empty() && self.poison.is_empty())
    }

    /// Removes and returns what fits into one frame.
    pub fn take(&mut self) -> News {
        News {
            members: take(&mut self.members),
            targets: take(&mut self.targets),
            loads: take(&mut self.loads),
            accounts: take(&mut self.accounts),
            poison: take(&mut self.poison),
        }
    }

    /// Returns the number of queued subjects.
    pub fn len(&self) -> usize {
        self.members.len()
            + self.targets.len()
            + self.loads.len()
            + self.accounts.len()
            + self.poison.len()
    }

    /// Returns whether nothing is queued.
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
    if replaces.unwrap_or(queue.len() < MAX_QUEUED_SUBJECTS) {
        queue.insert(subject, item.clone());
    }
}

fn take<K: Ord, V>(queue: &mut BTreeMap<K, V>) -> Vec<V> {
    let mut taken = Vec::new();
    while taken.len() < MAX_ITEMS_PER_FRAME
        && let Some((_, item)) = queue.pop_first()
    {
        taken.push(item);
    }
    taken
}
