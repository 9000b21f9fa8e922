use {
    std::borrow::Borrow, std::collections::HashMap, std::hash::Hash, whinlatch_wire::ids::RecordKey,
};

/// Record bodies by the name that they declare, where several records may declare the same one. The
/// record with the lowest key owns the name; when it is removed, the next one does. So what is in
/// force doesn't depend on the order of arrival.
#[derive(Debug)]
pub(super) struct NameIndex<N, T> {
    by_name: HashMap<N, Vec<(RecordKey, T)>>,
}

impl<N, T> Default for NameIndex<N, T> {
    fn default() -> Self {
        Self {
            by_name: HashMap::new(),
        }
    }
}

impl<N: Eq + Hash, T> NameIndex<N, T> {
    /// Adds a record's body under the name that it declares.
    pub fn insert(&mut self, name: N, key: &RecordKey, body: T) {
        let claimant = (key.clone(), body);
        let Some(claimants) = self.by_name.get_mut(&name) else {
            // Most names have one claimant: `vec!` allocates room for just one.
            self.by_name.insert(name, vec![claimant]);
            return;
        };
        let index = claimants.partition_point(|(other, _)| other < key);
        claimants.insert(index, claimant);
    }

    /// Removes a record's body.
    pub fn remove(&mut self, name: &N, key: &RecordKey) {
        let Some(claimants) = self.by_name.get_mut(name) else {
            return;
        };
        claimants.retain(|(other, _)| other != key);
        if claimants.is_empty() {
            self.by_name.remove(name);
        }
    }

    /// Returns the body of the record that owns a name.
    pub fn get<Q>(&self, name: &Q) -> Option<&T>
    where
        N: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let (_, body) = self.by_name.get(name)?.first()?;
        Some(body)
    }

    /// Returns the key of the record that owns a name.
    pub fn key<Q>(&self, name: &Q) -> Option<&RecordKey>
    where
        N: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let (key, _) = self.by_name.get(name)?.first()?;
        Some(key)
    }

    /// Returns the bodies that own their names, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.by_name
            .values()
            .filter_map(|claimants| claimants.first())
            .map(|(_, body)| body)
    }
}
