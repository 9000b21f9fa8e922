use {
    super::{EvacuationChange, TargetEntry},
    crate::names::TargetName,
    serde::{Deserialize, Serialize},
};

/// A change of an entry at a revision of the store. The higher revision wins, so changes may arrive in any
/// order and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// Name under which the target is published.
    #[serde(rename = "id")]
    pub name: TargetName,
    /// Revision of the store at which the entry changed.
    pub revision: u64,
    /// The new entry; `None` if it was removed or is unreadable.
    pub entry: Option<TargetEntry>,
    /// Whether the store has a value under this name that can't be read as a target. Unlike a removal, this
    /// takes effect immediately even after an outage of the store.
    #[serde(default)]
    pub is_unreadable: bool,
}

/// Changes of the published state other than the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedChanges {
    /// Changes of targets.
    pub targets: Vec<TargetChange>,
    /// Begins and ends of evacuations.
    pub evacuations: Vec<EvacuationChange>,
}

/// What a change that was read from the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It takes effect.
    Applied,
    /// It is a removal that takes effect later, unless the entry is published again: it may have expired only
    /// because the store was unavailable.
    Unconfirmed,
    /// A change that is at least as new was known.
    Known,
}

impl TargetChange {
    /// Creates the removal of an entry.
    pub fn removal(name: TargetName, revision: u64) -> Self {
        Self {
            name,
            revision,
            entry: None,
            is_unreadable: false,
        }
    }
}
