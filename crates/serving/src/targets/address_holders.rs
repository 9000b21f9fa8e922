use {
    super::TargetEntry,
    crate::names::TargetId,
    std::{collections::HashMap, net::SocketAddr},
};

/// Which run each published address belongs to.
///
/// Guards against a target that crashes and starts again while its old entry stands, as happens when
/// it is cut off from the store or the store is away: two entries name one address. A prompt that
/// names an engine twice among those that help it read is turned away, and a call that means the run
/// before is. The later start holds the address where both entries say when they began; else the
/// entry that still stands goes before one that has lapsed, and the newer one before the older.
#[derive(Debug, Default)]
pub struct AddressHolders {
    by_address: HashMap<SocketAddr, TargetId>,
}

impl AddressHolders {
    /// Finds the holders among entries, each with its revision and whether it still stands.
    pub fn new<'a>(entries: impl Iterator<Item = (u64, bool, &'a TargetEntry)>) -> Self {
        let mut entries: Vec<(u64, bool, &TargetEntry)> = entries.collect();
        entries.sort_unstable_by_key(|(revision, stands, _)| (*stands, *revision));
        let mut holders: HashMap<SocketAddr, &TargetEntry> = HashMap::new();
        for (_, _, entry) in entries {
            let holder = holders.entry(entry.address).or_insert(entry);
            if !entry.is_before(holder) {
                *holder = entry;
            }
        }
        let by_address = holders
            .into_iter()
            .map(|(address, entry)| (address, entry.id.clone()))
            .collect();
        Self { by_address }
    }

    /// The run that holds an address.
    pub fn at(&self, address: SocketAddr) -> Option<&TargetId> {
        self.by_address.get(&address)
    }

    /// Whether an entry's address belongs to its run.
    pub fn is_held_by(&self, entry: &TargetEntry) -> bool {
        self.at(entry.address) == Some(&entry.id)
    }
}
