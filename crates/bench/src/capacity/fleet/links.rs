use std::collections::BTreeSet;

/// Open links between daemons, as pairs of daemon numbers.
#[derive(Debug, Default)]
pub(super) struct OpenLinks {
    pairs: BTreeSet<(usize, usize)>,
}

impl OpenLinks {
    /// Opens a link. Returns `false` if it was open already.
    pub(super) fn open(&mut self, a: usize, b: usize) -> bool {
        self.pairs.insert(ordered(a, b))
    }

    /// Closes a link. Returns `false` if it wasn't open.
    pub(super) fn close(&mut self, a: usize, b: usize) -> bool {
        self.pairs.remove(&ordered(a, b))
    }

    /// Returns whether a link is open.
    pub(super) fn is_open(&self, a: usize, b: usize) -> bool {
        self.pairs.contains(&ordered(a, b))
    }

    /// Returns the links for which `predicate` holds.
    pub(super) fn matching(&self, predicate: impl Fn(usize, usize) -> bool) -> Vec<(usize, usize)> {
        let pairs = self.pairs.iter().copied();
        pairs.filter(|(a, b)| predicate(*a, *b)).collect()
    }

    /// Returns the number of open links.
    pub(super) fn len(&self) -> usize {
        self.pairs.len()
    }
}

fn ordered(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
