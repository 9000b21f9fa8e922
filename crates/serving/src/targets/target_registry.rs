use {
    super::{
        AddressClaim, AddressOwners, ChangeOutcome, EvacuationChange, Evacuations,
        PublishedChanges, StoreOutages, TargetChange, TargetEntry, TargetState,
    },
    crate::names::{FailureDomain, TargetId, TargetName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
};

/// Time for which removals are kept, in ms: well over the time for which any peer may still send the
/// removed entry.
const REMOVAL_RETENTION_MS: u64 = 120_000;

/// A report that another target answers at the address of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressTakeover {
    /// Name under which the entry is published.
    pub name: TargetName,
    /// Revision of the entry. A later entry under the same name is not affected.
    pub revision: u64,
}

#[derive(Debug)]
struct KnownEntry {
    revision: u64,
    entry: Option<TargetEntry>,
    /// When this instance learned of this revision.
    changed_at: MonoMs,
}

/// The published targets that this instance knows from the store and from peers.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    /// Sorted by name, so that a choice among equal targets is deterministic. Includes recent removals.
    by_name: BTreeMap<TargetName, KnownEntry>,
    /// Names of the runs that are published.
    runs: HashMap<TargetId, TargetName>,
    /// Removals that may be due to an outage of the store, and their revisions.
    unconfirmed: HashMap<TargetName, u64>,
    /// Revisions of the newest entries whose address another target has taken over.
    takeovers: HashMap<TargetName, u64>,
    /// Runs that announced that they leave, and when this was received.
    leaving: HashMap<TargetId, MonoMs>,
    evacuations: Evacuations,
    owners: AddressOwners,
    outages: StoreOutages,
    is_initialized: bool,
    newest_revision: u64,
    /// Revision since which all removals are known.
    complete_since: u64,
}

impl TargetRegistry {
    /// Replaces the interval between the heartbeats of targets, in ms.
    pub fn set_heartbeat_interval(&mut self, heartbeat_interval_ms: u64) {
        self.outages = StoreOutages::new(heartbeat_interval_ms);
    }

    /// Records that the store didn't answer.
    pub fn record_store_failure(&mut self) {
        self.outages.record_failure();
    }

    /// Records that the store answered at `at`, this instance or a relay that it follows.
    pub fn record_store_answer(&mut self, at: MonoMs) {
        self.outages.record_answer(at);
    }

    /// Records that the store answered a settled relay at `at`.
    pub fn record_settled_answer(&mut self, at: MonoMs) {
        self.outages.record_settled_answer(at);
    }

    /// Returns whether all removals that are known now are those of targets that have left.
    pub fn is_settled(&self, now: MonoMs) -> bool {
        self.outages.is_settled(now)
    }

    /// Returns whether the store or a peer has reported a change or a list of targets, be it empty.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Applies a change from the store.
    ///
    /// Guards against entries that expire while the store is unavailable: their targets are alive and
    /// publish them again soon after. Such a removal stays unconfirmed and takes effect only if the entry is
    /// still missing after the grace time of [`StoreOutages`].
    pub fn apply_store_change(&mut self, now: MonoMs, change: &TargetChange) -> ChangeOutcome {
        self.is_initialized = true;
        let was_leaving = self
            .published_entry(&change.name)
            .is_none_or(|entry| entry.state == TargetState::Draining);
        let is_removal = change.entry.is_none() && !change.is_unreadable;
        if is_removal && !was_leaving && self.outages.may_removals_be_expired(now) {
            self.unconfirmed
                .insert(change.name.clone(), change.revision);
            self.recompute_owner_for(&change.name);
            return ChangeOutcome::Unconfirmed;
        }
        if self.merge(now, change) {
            ChangeOutcome::Applied
        } else {
            ChangeOutcome::Known
        }
    }

    /// Applies all entries and evacuations of the store at `revision`. Known ones that are missing from it are
    /// removed. Returns the changes of targets with their outcomes.
    pub fn apply_store_snapshot(
        &mut self,
        now: MonoMs,
        revision: u64,
        all: PublishedChanges,
    ) -> Vec<(TargetChange, ChangeOutcome)> {
        let missing = self.missing_from(&all.targets, revision);
        self.mark_complete_at(revision);
        let changes = all.targets.into_iter().chain(missing);
        let outcomes = changes
            .map(|change| {
                let outcome = self.apply_store_change(now, &change);
                (change, outcome)
            })
            .collect();
        self.apply_all_evacuations(now, revision, all.evacuations);
        outcomes
    }

    /// Applies a change from a peer, removals immediately. Returns whether it is new.
    pub fn apply_peer_change(&mut self, now: MonoMs, change: &TargetChange) -> bool {
        self.is_initialized = true;
        self.merge(now, change)
    }

    /// Applies all entries and evacuations that a peer had at `revision`. Returns the changes that are new.
    pub fn apply_peer_snapshot(
        &mut self,
        now: MonoMs,
        revision: u64,
        all: PublishedChanges,
    ) -> PublishedChanges {
        let missing = self.missing_from(&all.targets, revision);
        self.mark_complete_at(revision);
        let targets = all.targets.into_iter().chain(missing);
        PublishedChanges {
            targets: targets.filter(|change| self.merge(now, change)).collect(),
            evacuations: self.apply_all_evacuations(now, revision, all.evacuations),
        }
    }

    /// Applies the begin or end of an evacuation, from the store or a peer. Returns whether it is new.
    ///
    /// Unlike a target's entry, an operator's request never expires, so its removal takes effect immediately
    /// even after an outage of the store.
    pub fn apply_evacuation(&mut self, now: MonoMs, change: &EvacuationChange) -> bool {
        let is_new = self.evacuations.apply(now, change);
        if is_new {
            self.newest_revision = self.newest_revision.max(change.revision);
        }
        is_new
    }

    /// Applies all evacuations at `revision`. Known ones that are missing have ended. Returns the changes that
    /// are new.
    fn apply_all_evacuations(
        &mut self,
        now: MonoMs,
        revision: u64,
        all: Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        let missing = self.evacuations.missing_from(&all, revision);
        all.into_iter()
            .chain(missing)
            .filter(|change| self.apply_evacuation(now, change))
            .collect()
    }

    /// Returns removals of the known entries that a complete list at `revision` doesn't contain.
    fn missing_from(&self, listed: &[TargetChange], revision: u64) -> Vec<TargetChange> {
        let listed: HashSet<&TargetName> = listed.iter().map(|change| &change.name).collect();
        self.by_name
            .iter()
            .filter(|(name, known)| {
                known.entry.is_some() && known.revision <= revision && !listed.contains(name)
            })
            .map(|(name, _)| TargetChange::removal(name.clone(), revision))
            .collect()
    }

    /// Records that all entries at `revision` are known. Removals before the first such list are not.
    fn mark_complete_at(&mut self, revision: u64) {
        if !self.is_initialized {
            self.complete_since = self.complete_since.max(revision);
        }
        self.is_initialized = true;
    }

    /// Applies a change unless the known one is at least as new. Returns whether it is new.
    fn merge(&mut self, now: MonoMs, change: &TargetChange) -> bool {
        let known = self.by_name.get(&change.name);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return false;
        }
        self.unconfirmed.remove(&change.name);
        self.newest_revision = self.newest_revision.max(change.revision);
        let known = KnownEntry {
            revision: change.revision,
            entry: change.entry.clone(),
            changed_at: now,
        };
        let former = self.by_name.insert(change.name.clone(), known);
        if let Some(former) = former.and_then(|known| known.entry) {
            self.runs.remove(&former.id);
            if change.entry.is_none() {
                self.leaving.remove(&former.id);
            }
            self.owners.remove(former.address, &change.name);
            self.recompute_owner(former.address);
        }
        if let Some(entry) = &change.entry {
            self.runs.insert(entry.id.clone(), change.name.clone());
            self.owners.add(entry.address, &change.name);
            self.recompute_owner(entry.address);
        }
        true
    }

    /// Records that another target answers at the address of an entry, as observed here or by a peer.
    /// Returns whether that is new. A later entry under the same name is valid again.
    pub fn apply_takeover(&mut self, takeover: &AddressTakeover) -> bool {
        let known = self.takeovers.entry(takeover.name.clone()).or_default();
        if *known >= takeover.revision {
            return false;
        }
        *known = takeover.revision;
        self.recompute_owner_for(&takeover.name);
        true
    }

    /// Returns the report that another target answers at the address of a run; `None` if the run isn't
    /// published.
    pub fn takeover_of(&self, run: &str) -> Option<AddressTakeover> {
        let name = self.runs.get(run)?;
        let revision = self.by_name.get(name)?.revision;
        Some(AddressTakeover {
            name: name.clone(),
            revision,
        })
    }

    /// Records that a run announced that it leaves, here or to a peer. Returns whether that is new.
    ///
    /// The run gets no more requests, even if it is still published: the store may be unavailable, and its
    /// entry is older than the announcement. The announcement may arrive before the entry.
    pub fn record_leaving(&mut self, now: MonoMs, run: &TargetId) -> bool {
        self.leaving.insert(run.clone(), now).is_none()
    }

    /// Returns the runs that announced that they leave, for a peer that has just linked.
    pub fn leaving(&self) -> Vec<TargetId> {
        self.leaving.keys().cloned().collect()
    }

    fn recompute_owner_for(&mut self, name: &TargetName) {
        if let Some(address) = self.published_entry(name).map(|entry| entry.address) {
            self.recompute_owner(address);
        }
    }

    /// Recomputes which entry owns an address.
    fn recompute_owner(&mut self, address: SocketAddr) {
        let Self {
            by_name,
            takeovers,
            unconfirmed,
            owners,
            ..
        } = self;
        owners.recompute(address, |name| {
            let known = by_name.get(name)?;
            let is_taken_over = takeovers.get(name).is_some_and(|at| *at >= known.revision);
            let entry = known.entry.as_ref().filter(|_entry| !is_taken_over)?;
            Some(AddressClaim {
                entry,
                revision: known.revision,
                is_live: !unconfirmed.contains_key(name),
            })
        });
    }

    /// Applies unconfirmed removals once the grace time after the store's return is over, and evicts expired
    /// records. Returns the removals that take effect.
    pub fn confirm_removals(&mut self, now: MonoMs) -> Vec<TargetChange> {
        self.evict_removals(now);
        let runs = &self.runs;
        self.leaving.retain(|run, received_at| {
            runs.contains_key(run) || now.since(*received_at) < REMOVAL_RETENTION_MS
        });
        let (by_name, newest_revision) = (&self.by_name, self.newest_revision);
        // A takeover may be reported before the entry itself arrives.
        self.takeovers
            .retain(|name, revision| by_name.contains_key(name) || *revision > newest_revision);
        if self.outages.may_removals_be_expired(now) {
            return Vec::new();
        }
        self.confirm_removals_up_to(now, u64::MAX)
    }

    /// Applies the unconfirmed removals up to a revision, which a settled peer knows to be those of targets that have
    /// left. Returns the removals that take effect.
    pub fn confirm_removals_up_to(&mut self, now: MonoMs, revision: u64) -> Vec<TargetChange> {
        let confirmed: Vec<TargetChange> = self
            .unconfirmed
            .iter()
            .filter(|(_, removed_at)| **removed_at <= revision)
            .map(|(name, removed_at)| TargetChange::removal(name.clone(), *removed_at))
            .collect();
        for change in &confirmed {
            self.unconfirmed.remove(&change.name);
        }
        let applied = confirmed.into_iter();
        applied.filter(|change| self.merge(now, change)).collect()
    }

    fn evict_removals(&mut self, now: MonoMs) {
        let complete_since = &mut self.complete_since;
        self.by_name.retain(|_, known| {
            let is_kept =
                known.entry.is_some() || now.since(known.changed_at) < REMOVAL_RETENTION_MS;
            if !is_kept {
                *complete_since = known.revision.max(*complete_since);
            }
            is_kept
        });
    }

    /// Returns the entry of a run if it is published.
    pub fn entry(&self, run: &str) -> Option<&TargetEntry> {
        self.published_entry(self.runs.get(run)?)
    }

    /// Returns the entry that is published under a name.
    pub fn published_entry(&self, name: &str) -> Option<&TargetEntry> {
        self.by_name
            .get(name)
            .and_then(|known| known.entry.as_ref())
    }

    /// Returns the entry that takes requests at an address.
    pub fn ready_at(&self, address: SocketAddr) -> Option<&TargetEntry> {
        self.ready_entry(self.owners.owner(address)?)
    }

    /// Returns whether the store failed to answer the last call.
    pub fn is_store_lost(&self) -> bool {
        self.outages.is_lost()
    }

    /// Returns the time before which the store must answer to show that no entry expired in an outage; `None` if it never
    /// answered.
    pub fn expiry_deadline(&self) -> Option<MonoMs> {
        self.outages.expiry_deadline()
    }

    /// Returns when the store answered again after its last outage; `None` if there was none.
    pub fn store_regained_at(&self) -> Option<MonoMs> {
        self.outages.regained_at()
    }

    /// Returns all targets that take requests, sorted by name.
    pub fn all_ready(&self) -> impl Iterator<Item = &TargetEntry> {
        self.by_name
            .values()
            .filter_map(|known| known.entry.as_ref())
            .filter(|entry| self.takes_requests(entry))
    }

    fn takes_requests(&self, entry: &TargetEntry) -> bool {
        entry.state == TargetState::Ready
            && self.owners.is_owner(entry)
            && !self.leaving.contains_key(&entry.id)
            && !self.evacuations.is_evacuated(&entry.failure_domain)
    }

    /// Returns the failure domains whose targets must get nothing new, sorted.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.evacuations.evacuated()
    }

    /// Returns the number of published targets in a failure domain.
    pub fn count_in_domain(&self, domain: &str) -> usize {
        let entries = self
            .by_name
            .values()
            .filter_map(|known| known.entry.as_ref());
        entries
            .filter(|entry| &*entry.failure_domain == domain)
            .count()
    }

    /// Returns whether a run may be cold now: its entry says so, or the evacuation of its failure domain ended
    /// within `after_evacuation_ms`, and its entry, which tells how long it is cold, may not have arrived.
    ///
    /// The time that an entry states is counted from when it arrived, so it ends too late rather than too
    /// early.
    pub fn may_be_cold(&self, now: MonoMs, run: &str, after_evacuation_ms: u64) -> bool {
        let known = self.runs.get(run).and_then(|name| self.by_name.get(name));
        let Some((known, entry)) = known.and_then(|known| Some((known, known.entry.as_ref()?)))
        else {
            return false;
        };
        let is_stated = now.since(known.changed_at) < entry.cold_remaining_ms;
        let evacuation_ended_at = self.evacuations.ended_at(&entry.failure_domain);
        is_stated
            || evacuation_ended_at.is_some_and(|ended_at| now.since(ended_at) < after_evacuation_ms)
    }

    /// Returns the run ids of all targets that take requests, sorted.
    pub fn ready_ids(&self) -> Vec<String> {
        let mut ids: Vec<String> = self.all_ready().map(|entry| entry.id.to_string()).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the entry of a run if it is published and takes requests.
    pub fn ready_entry(&self, id: &str) -> Option<&TargetEntry> {
        self.entry(id).filter(|entry| self.takes_requests(entry))
    }

    /// Returns the revision of the newest known change.
    pub fn revision(&self) -> u64 {
        self.newest_revision
    }

    /// Returns `revision`, or that before the first unconfirmed removal if it is lower: all changes up to
    /// there have taken effect.
    pub fn confirmed_revision(&self, revision: u64) -> u64 {
        let first_unconfirmed = self.unconfirmed.values().min();
        first_unconfirmed.map_or(revision, |first| revision.min(first.saturating_sub(1)))
    }

    /// Returns whether [`Self::changes_after`] a revision includes all removals since then.
    pub fn has_removals_since(&self, revision: u64) -> bool {
        revision >= self.complete_since
    }

    /// Returns the known changes after a revision.
    pub fn changes_after(&self, revision: u64) -> PublishedChanges {
        PublishedChanges {
            targets: self.changes(|known| known.revision > revision),
            evacuations: self.evacuations.changes_after(revision),
        }
    }

    /// Returns all published entries and evacuations, as changes.
    pub fn all(&self) -> PublishedChanges {
        PublishedChanges {
            targets: self.changes(|known| known.entry.is_some()),
            evacuations: self.evacuations.changes_after(0),
        }
    }

    fn changes(&self, is_included: impl Fn(&KnownEntry) -> bool) -> Vec<TargetChange> {
        self.by_name
            .iter()
            .filter(|(_, known)| is_included(known))
            .map(|(name, known)| TargetChange {
                name: name.clone(),
                revision: known.revision,
                entry: known.entry.clone(),
                is_unreadable: false,
            })
            .collect()
    }

    /// Returns the targets of a service that take requests, sorted by name.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        self.all_ready()
            .filter(move |entry| &*entry.service == service)
    }
}
