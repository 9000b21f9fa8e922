use {
    crate::names::FailureDomain,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    whinlatch_core::MonoMs,
};

/// An operator's request to send nothing more to the targets of a failure domain, or its end, at a
/// revision of the store. The higher revision wins, so changes may arrive in any order and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Revision of the store at which the request was written or removed.
    pub revision: u64,
    /// Whether the failure domain is evacuated; false if the request was removed.
    pub is_evacuated: bool,
}

#[derive(Debug)]
struct KnownEvacuation {
    revision: u64,
    is_evacuated: bool,
    changed_at: MonoMs,
}

/// The evacuations that operators have requested or ended, by failure domain.
///
/// An ended one is kept: a peer may still send the change that began it.
#[derive(Debug, Default)]
pub struct Evacuations {
    by_domain: BTreeMap<FailureDomain, KnownEvacuation>,
}

impl Evacuations {
    /// Applies a change unless the known one is at least as new. Returns whether it is new.
    pub fn apply(&mut self, now: MonoMs, change: &EvacuationChange) -> bool {
        let known = self.by_domain.get(&change.failure_domain);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return false;
        }
        let known = KnownEvacuation {
            revision: change.revision,
            is_evacuated: change.is_evacuated,
            changed_at: now,
        };
        self.by_domain.insert(change.failure_domain.clone(), known);
        true
    }

    /// Returns whether the targets of a failure domain must get nothing new.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.by_domain
            .get(domain)
            .is_some_and(|known| known.is_evacuated)
    }

    /// Returns when this instance learned that the evacuation of a failure domain has ended; `None` if it
    /// knows of no evacuation, or of one that goes on.
    pub fn ended_at(&self, domain: &str) -> Option<MonoMs> {
        let known = self.by_domain.get(domain)?;
        (!known.is_evacuated).then_some(known.changed_at)
    }

    /// Returns the evacuated failure domains, sorted.
    pub fn evacuated(&self) -> impl Iterator<Item = &FailureDomain> {
        self.by_domain
            .iter()
            .filter(|(_, known)| known.is_evacuated)
            .map(|(domain, _)| domain)
    }

    /// Returns the ends of the known evacuations that a complete list at `revision` doesn't contain.
    pub fn missing_from(
        &self,
        listed: &[EvacuationChange],
        revision: u64,
    ) -> Vec<EvacuationChange> {
        let is_listed =
            |domain: &FailureDomain| listed.iter().any(|change| change.failure_domain == *domain);
        self.by_domain
            .iter()
            .filter(|(domain, known)| {
                known.is_evacuated && known.revision <= revision && !is_listed(domain)
            })
            .map(|(domain, _)| EvacuationChange {
                failure_domain: domain.clone(),
                revision,
                is_evacuated: false,
            })
            .collect()
    }

    /// Returns the known changes after a revision.
    pub fn changes_after(&self, revision: u64) -> Vec<EvacuationChange> {
        self.by_domain
            .iter()
            .filter(|(_, known)| known.revision > revision)
            .map(|(domain, known)| EvacuationChange {
                failure_domain: domain.clone(),
                revision: known.revision,
                is_evacuated: known.is_evacuated,
            })
            .collect()
    }
}
