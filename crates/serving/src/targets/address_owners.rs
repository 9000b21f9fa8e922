use {
    super::TargetEntry,
    crate::names::{TargetId, TargetName},
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// A published entry that competes with others for its address.
#[derive(Debug, Clone, Copy)]
pub struct AddressClaim<'a> {
    /// Entry with the address in question.
    pub entry: &'a TargetEntry,
    /// Revision of the store at which it was written.
    pub revision: u64,
    /// False if the store has removed the entry while it was unavailable and the removal is unconfirmed.
    pub is_live: bool,
}

impl AddressClaim<'_> {
    fn rank(&self) -> (bool, u64) {
        (self.is_live, self.revision)
    }
}

/// Maps each published address to the run that owns it.
///
/// Guards against a target that crashes and restarts while its old entry is still published, as happens
/// when it is cut off from the store or the store is down: two entries then name one address. A prompt
/// that names an engine twice among its helpers is rejected, and so is a call addressed to the former run.
/// The run that started later owns the address if both entries give their start; otherwise a live entry
/// precedes an expired one, and a newer entry an older one.
#[derive(Debug, Default)]
pub struct AddressOwners {
    /// Names of the entries that have each address.
    names: HashMap<SocketAddr, BTreeSet<TargetName>>,
    owners: HashMap<SocketAddr, TargetId>,
}

impl AddressOwners {
    /// Records that an entry with this address is published under a name.
    pub fn add(&mut self, address: SocketAddr, name: &TargetName) {
        self.names.entry(address).or_default().insert(name.clone());
    }

    /// Records that the entry under a name no longer has this address.
    pub fn remove(&mut self, address: SocketAddr, name: &TargetName) {
        let Some(names) = self.names.get_mut(&address) else {
            return;
        };
        names.remove(name);
        if names.is_empty() {
            self.names.remove(&address);
        }
    }

    /// Recomputes the owner of an address. `claim` returns the claim of the entry under a name, or `None`
    /// if another target has answered at its address.
    pub fn recompute<'a>(
        &mut self,
        address: SocketAddr,
        claim: impl Fn(&TargetName) -> Option<AddressClaim<'a>>,
    ) {
        let names = self.names.get(&address).into_iter().flatten();
        let mut claims: Vec<AddressClaim<'a>> = names.filter_map(claim).collect();
        claims.sort_unstable_by_key(AddressClaim::rank);
        let owner = claims.into_iter().reduce(|owner, claim| {
            if claim.entry.started_before(owner.entry) {
                owner
            } else {
                claim
            }
        });
        match owner {
            Some(owner) => self.owners.insert(address, owner.entry.id.clone()),
            None => self.owners.remove(&address),
        };
    }

    /// Returns the run that owns an address.
    pub fn owner(&self, address: SocketAddr) -> Option<&TargetId> {
        self.owners.get(&address)
    }

    /// Returns whether the run of an entry owns the entry's address.
    pub fn is_owner(&self, entry: &TargetEntry) -> bool {
        self.owner(entry.address) == Some(&entry.id)
    }
}
