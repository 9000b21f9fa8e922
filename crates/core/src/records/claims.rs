use {
    std::borrow::Borrow, std::collections::HashMap, std::hash::Hash, whinlatch_wire::ids::RecordKey,
};

/// Bodies by the name that they state, where several records may state one name. The record with
/// the lowest key has the name; when it goes, the next has it. So what is in force doesn't depend
/// on the order in which the records came.
#[derive(Debug)]
pub(super) struct Claims<N, T> {
    by_name: HashMap<N, Vec<(RecordKey, T)>>,
}

impl<N, T> Default for Claims<N, T> {
    fn default() -> Self {
        Self {
            by_name: HashMap::new(),
        }
    }
}

impl<N: Eq + Hash, T> Claims<N, T> {
    /// Adds a record's body under the name that it states.
    pub fn insert(&mut self, name: N, key: &RecordKey, body: T) {
        let claim = (key.clone(), body);
        let Some(claims) = self.by_name.get_mut(&name) else {
            // One claim is the common case: `vec!` holds room for just that.
            self.by_name.insert(name, vec![claim]);
            return;
        };
        let place = claims.partition_point(|(held, _)| held < key);
        claims.insert(place, claim);
    }

    /// Takes a record's body out.
    pub fn remove(&mut self, name: &N, key: &RecordKey) {
        let Some(claims) = self.by_name.get_mut(name) else {
            return;
        };
        claims.retain(|(held, _)| held != key);
        if claims.is_empty() {
            self.by_name.remove(name);
        }
    }

    /// The body that has a name.
    pub fn get<Q>(&self, name: &Q) -> Option<&T>
    where
        N: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let (_, body) = self.by_name.get(name)?.first()?;
        Some(body)
    }

    /// The key of the record that has a name.
    pub fn key<Q>(&self, name: &Q) -> Option<&RecordKey>
    where
        N: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let (key, _) = self.by_name.get(name)?.first()?;
        Some(key)
    }

    /// The bodies that have their names, in no order.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.by_name
            .values()
            .filter_map(|claims| claims.first())
            .map(|(_, body)| body)
    }
}
