use {
    super::TargetEntry,
    crate::names::{TargetId, TargetName},
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// An entry that may hold its address.
#[derive(Debug, Clone, Copy)]
pub struct Claim<'a> {
    /// The entry.
    pub entry: &'a TargetEntry,
    /// Revision of the store at which it was written.
    pub revision: u64,
    /// Whether it still stands, or has lapsed while the store was away.
    pub stands: bool,
}

impl Claim<'_> {
    fn rank(&self) -> (bool, u64) {
        (self.stands, self.revision)
    }
}

/// Which run each published address belongs to.
///
/// Guards against a target that crashes and starts again while its old entry stands, as happens when
/// it is cut off from the store or the store is away: two entries name one address. A prompt that
/// names an engine twice among those that help it read is turned away, and a call that means the run
/// before is. The later start holds the address where both entries say when they began; else the
/// entry that still stands goes before one that has lapsed, and the newer one before the older.
#[derive(Debug, Default)]
pub struct AddressHolders {
    names: HashMap<SocketAddr, BTreeSet<TargetName>>,
    holders: HashMap<SocketAddr, TargetId>,
}

impl AddressHolders {
    /// Notes that an entry with this address is published under a name.
    pub fn add(&mut self, address: SocketAddr, name: &TargetName) {
        self.names.entry(address).or_default().insert(name.clone());
    }

    /// Notes that the entry under a name hasn't this address any more.
    pub fn remove(&mut self, address: SocketAddr, name: &TargetName) {
        let Some(names) = self.names.get_mut(&address) else {
            return;
        };
        names.remove(name);
        if names.is_empty() {
            self.names.remove(&address);
        }
    }

    /// Finds out anew who holds an address. `claim` gives the entry under a name, unless another target
    /// was seen to answer for it.
    pub fn fit<'a>(
        &mut self,
        address: SocketAddr,
        claim: impl Fn(&TargetName) -> Option<Claim<'a>>,
    ) {
        let names = self.names.get(&address).into_iter().flatten();
        let mut claims: Vec<Claim<'a>> = names.filter_map(claim).collect();
        claims.sort_unstable_by_key(Claim::rank);
        let holder = claims.into_iter().reduce(|holder, claim| {
            if claim.entry.is_before(holder.entry) {
                holder
            } else {
                claim
            }
        });
        match holder {
            Some(holder) => self.holders.insert(address, holder.entry.id.clone()),
            None => self.holders.remove(&address),
        };
    }

    /// The run that holds an address.
    pub fn at(&self, address: SocketAddr) -> Option<&TargetId> {
        self.holders.get(&address)
    }

    /// Whether an entry's address belongs to its run.
    pub fn is_held_by(&self, entry: &TargetEntry) -> bool {
        self.at(entry.address) == Some(&entry.id)
    }
}
