use {
    super::{AddressHolders, Claim, TargetEntry, TargetState},
    crate::names::{TargetId, TargetName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
};

/// Time after the store's return within which entries that lapsed meanwhile are written again, in
/// ms. The operators promise about two seconds.
const LAPSE_GRACE_MS: u64 = 2_300;
/// Time for which the removal of an entry is remembered, in ms: well over the time for which any
/// peer may still tell of the entry.
const REMEMBER_REMOVED_MS: u64 = 120_000;

/// What became of an entry, at a revision of the store. The higher revision wins, so news may
/// arrive in any order and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// Name under which the target is published.
    #[serde(rename = "id")]
    pub name: TargetName,
    /// Revision of the store at which it happened.
    pub revision: u64,
    /// The entry, or `None` if there is none any more that names a target.
    pub entry: Option<TargetEntry>,
    /// Whether something was written there that names no target, rather than nothing.
    #[serde(default)]
    pub is_unreadable: bool,
}

/// An entry whose target isn't at its address: another one answered there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Displaced {
    /// Name under which it is published.
    pub name: TargetName,
    /// Revision of the entry.
    pub revision: u64,
}

#[derive(Debug)]
struct Held {
    revision: u64,
    entry: Option<TargetEntry>,
    removed_at: MonoMs,
}

/// The published targets as far as this instance knows them.
#[derive(Debug, Default)]
pub struct TargetBook {
    /// In the order of names: whoever chooses among equals chooses the same each time.
    by_name: BTreeMap<TargetName, Held>,
    /// Names of the runs that are published.
    runs: HashMap<TargetId, TargetName>,
    doubtful: HashMap<TargetName, u64>,
    displaced: HashMap<TargetName, u64>,
    /// Runs that have said that they leave, and when this was heard.
    leaving: HashMap<TargetId, MonoMs>,
    holders: AddressHolders,
    store_silent: bool,
    store_back_at: Option<MonoMs>,
    read_once: bool,
    newest: u64,
    /// Revision from which on no removal is missing here.
    complete_since: u64,
}

impl TargetBook {
    /// The store didn't answer. What it removes until shortly after its return may have lapsed
    /// only because targets couldn't reach it either.
    pub fn store_failed(&mut self) {
        self.store_silent = true;
    }

    /// The store answers.
    pub fn store_answers(&mut self, now: MonoMs) {
        if self.store_silent {
            self.store_silent = false;
            self.store_back_at = Some(now);
        }
    }

    /// Whether targets were read from the store or a peer.
    pub fn is_known(&self) -> bool {
        self.read_once
    }

    /// Takes in a change that the store published. Returns it if it is news that takes effect.
    ///
    /// Guards against entries that expire while the store is away: the targets live and serve, and
    /// are written again soon after. Such a removal takes effect only if it still stands after
    /// `LAPSE_GRACE_MS`.
    pub fn published(&mut self, now: MonoMs, change: TargetChange) -> Option<TargetChange> {
        self.read_once = true;
        let was_away = self.store_silent
            || self
                .store_back_at
                .is_some_and(|back| now.since(back) < LAPSE_GRACE_MS);
        let leaving = self
            .published_entry(&change.name)
            .is_none_or(|entry| entry.state == TargetState::Draining);
        let is_removal = change.entry.is_none() && !change.is_unreadable;
        if is_removal && was_away && !leaving {
            self.doubtful.insert(change.name.clone(), change.revision);
            self.fit_holder_of(&change.name);
            return None;
        }
        self.merge(now, &change).then_some(change)
    }

    /// Takes in all entries that the store held at `revision`.
    pub fn published_all(&mut self, now: MonoMs, revision: u64, changes: Vec<TargetChange>) {
        let missing = self.missing_from(&changes, revision);
        self.begin_at(revision);
        for change in changes.into_iter().chain(missing) {
            self.published(now, change);
        }
    }

    /// Takes in what a peer tells. Returns whether it is news.
    pub fn told(&mut self, now: MonoMs, change: &TargetChange) -> bool {
        self.read_once = true;
        self.merge(now, change)
    }

    /// Takes in all entries that a peer held at `revision`. Returns what is news.
    pub fn told_all(
        &mut self,
        now: MonoMs,
        revision: u64,
        changes: Vec<TargetChange>,
    ) -> Vec<TargetChange> {
        let missing = self.missing_from(&changes, revision);
        self.begin_at(revision);
        changes
            .into_iter()
            .chain(missing)
            .filter(|change| self.merge(now, change))
            .collect()
    }

    /// The removals that a list of all entries at `revision` tells by not naming them.
    fn missing_from(&self, listed: &[TargetChange], revision: u64) -> Vec<TargetChange> {
        let listed: HashSet<&TargetName> = listed.iter().map(|change| &change.name).collect();
        self.by_name
            .iter()
            .filter(|(name, held)| {
                held.entry.is_some() && held.revision <= revision && !listed.contains(name)
            })
            .map(|(name, _)| removal(name, revision))
            .collect()
    }

    /// Notes that all entries at `revision` are known. Removals before the first such list are not.
    fn begin_at(&mut self, revision: u64) {
        if !self.read_once {
            self.complete_since = self.complete_since.max(revision);
        }
        self.read_once = true;
    }

    fn merge(&mut self, now: MonoMs, change: &TargetChange) -> bool {
        let held = self.by_name.get(&change.name);
        if held.is_some_and(|held| held.revision >= change.revision) {
            return false;
        }
        self.doubtful.remove(&change.name);
        self.newest = self.newest.max(change.revision);
        let held = Held {
            revision: change.revision,
            entry: change.entry.clone(),
            removed_at: now,
        };
        let former = self.by_name.insert(change.name.clone(), held);
        if let Some(former) = former.and_then(|held| held.entry) {
            self.runs.remove(&former.id);
            if change.entry.is_none() {
                self.leaving.remove(&former.id);
            }
            self.holders.remove(former.address, &change.name);
            self.fit_holder(former.address);
        }
        if let Some(entry) = &change.entry {
            self.runs.insert(entry.id.clone(), change.name.clone());
            self.holders.add(entry.address, &change.name);
            self.fit_holder(entry.address);
        }
        true
    }

    /// Notes that another target answers where a run was published, seen here or told by a peer.
    /// Returns whether that is news. What is written under its name later counts again.
    pub fn displaced(&mut self, displaced: &Displaced) -> bool {
        let known = self.displaced.entry(displaced.name.clone()).or_default();
        if *known >= displaced.revision {
            return false;
        }
        *known = displaced.revision;
        self.fit_holder_of(&displaced.name);
        true
    }

    /// What is to be told of a run at whose address another target answers.
    pub fn displacement(&self, run: &str) -> Option<Displaced> {
        let name = self.runs.get(run)?;
        let revision = self.by_name.get(name)?.revision;
        Some(Displaced {
            name: name.clone(),
            revision,
        })
    }

    /// Notes that a run has said that it leaves, here or to a peer. Returns whether that is news.
    ///
    /// It gets no request any more, whatever is published: the store may be away, and what it holds is older
    /// than the word of the target itself. That may come before the entry does.
    pub fn leaves(&mut self, now: MonoMs, run: &TargetId) -> bool {
        self.leaving.insert(run.clone(), now).is_none()
    }

    /// The runs that have said that they leave.
    pub fn leaving(&self) -> Vec<TargetId> {
        self.leaving.keys().cloned().collect()
    }

    fn fit_holder_of(&mut self, name: &TargetName) {
        if let Some(address) = self.published_entry(name).map(|entry| entry.address) {
            self.fit_holder(address);
        }
    }

    /// Finds out anew which entry holds an address.
    fn fit_holder(&mut self, address: SocketAddr) {
        let Self {
            by_name,
            displaced,
            doubtful,
            holders,
            ..
        } = self;
        holders.fit(address, |name| {
            let held = by_name.get(name)?;
            let is_displaced = displaced.get(name).is_some_and(|at| *at >= held.revision);
            let entry = held.entry.as_ref().filter(|_entry| !is_displaced)?;
            Some(Claim {
                entry,
                revision: held.revision,
                stands: !doubtful.contains_key(name),
            })
        });
    }

    /// Lets doubtful removals take effect once their time is over. Returns the targets.
    pub fn settle(&mut self, now: MonoMs) -> Vec<TargetName> {
        let is_over = !self.store_silent
            && self
                .store_back_at
                .is_none_or(|back| now.since(back) >= LAPSE_GRACE_MS);
        self.forget_removals(now);
        let runs = &self.runs;
        self.leaving.retain(|run, heard_at| {
            runs.contains_key(run) || now.since(*heard_at) < REMEMBER_REMOVED_MS
        });
        let (by_name, newest) = (&self.by_name, self.newest);
        // The word of a displaced entry may come before the entry itself.
        self.displaced
            .retain(|name, revision| by_name.contains_key(name) || *revision > newest);
        if !is_over || self.doubtful.is_empty() {
            return Vec::new();
        }
        let doubtful = std::mem::take(&mut self.doubtful);
        doubtful
            .into_iter()
            .map(|(name, revision)| removal(&name, revision))
            .filter(|change| self.merge(now, change))
            .map(|change| change.name)
            .collect()
    }

    fn forget_removals(&mut self, now: MonoMs) {
        let complete_since = &mut self.complete_since;
        self.by_name.retain(|_, held| {
            let is_kept = held.entry.is_some() || now.since(held.removed_at) < REMEMBER_REMOVED_MS;
            if !is_kept {
                *complete_since = held.revision.max(*complete_since);
            }
            is_kept
        });
    }

    /// The entry of a run, while it is published.
    pub fn entry(&self, run: &str) -> Option<&TargetEntry> {
        self.published_entry(self.runs.get(run)?)
    }

    /// The entry that is published under a name.
    pub fn published_entry(&self, name: &str) -> Option<&TargetEntry> {
        self.by_name.get(name).and_then(|held| held.entry.as_ref())
    }

    /// The entry that takes requests at an address.
    pub fn ready_at(&self, address: SocketAddr) -> Option<&TargetEntry> {
        self.ready_entry(self.holders.at(address)?)
    }

    /// Whether the store didn't answer when it was last asked.
    pub fn lost_store(&self) -> bool {
        self.store_silent
    }

    /// All targets that take requests.
    pub fn all_ready(&self) -> impl Iterator<Item = &TargetEntry> {
        self.by_name
            .values()
            .filter_map(|held| held.entry.as_ref())
            .filter(|entry| self.takes_requests(entry))
    }

    fn takes_requests(&self, entry: &TargetEntry) -> bool {
        entry.state == TargetState::Ready
            && self.holders.is_held_by(entry)
            && !self.leaving.contains_key(&entry.id)
    }

    /// Names of all targets that take requests, in order.
    pub fn ready_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.all_ready().map(|entry| entry.id.to_string()).collect();
        names.sort_unstable();
        names
    }

    /// The entry of a run, while it is published and takes requests.
    pub fn ready_entry(&self, id: &str) -> Option<&TargetEntry> {
        self.entry(id).filter(|entry| self.takes_requests(entry))
    }

    /// Revision of the newest change that is known.
    pub fn revision(&self) -> u64 {
        self.newest
    }

    /// Revision before which nothing is left to be found out: that of the first doubtful removal at
    /// most.
    pub fn settled_up_to(&self, revision: u64) -> u64 {
        let doubtful = self.doubtful.values().min();
        doubtful.map_or(revision, |first| revision.min(first.saturating_sub(1)))
    }

    /// Whether [`Self::changes_after`] a revision names all removals since then.
    pub fn remembers_since(&self, revision: u64) -> bool {
        revision >= self.complete_since
    }

    /// What is known that happened after a revision.
    pub fn changes_after(&self, revision: u64) -> Vec<TargetChange> {
        self.held(|held| held.revision > revision)
    }

    /// All that is published.
    pub fn all(&self) -> Vec<TargetChange> {
        self.held(|held| held.entry.is_some())
    }

    fn held(&self, is_asked: impl Fn(&Held) -> bool) -> Vec<TargetChange> {
        self.by_name
            .iter()
            .filter(|(_, held)| is_asked(held))
            .map(|(name, held)| TargetChange {
                name: name.clone(),
                revision: held.revision,
                entry: held.entry.clone(),
                is_unreadable: false,
            })
            .collect()
    }

    /// The targets of a service that take requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        self.all_ready()
            .filter(move |entry| &*entry.service == service)
    }
}

fn removal(name: &TargetName, revision: u64) -> TargetChange {
    TargetChange {
        name: name.clone(),
        revision,
        entry: None,
        is_unreadable: false,
    }
}
