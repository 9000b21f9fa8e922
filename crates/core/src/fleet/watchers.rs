use {
    std::collections::BTreeMap,
    whinlatch_wire::ids::{FailureDomain, Incarnation},
    xxhash_rust::xxh3::xxh3_64,
};

/// A failure domain with at most so many daemons has them all watch the platform.
const ALL_WATCH: usize = 4;
/// Watchers in a larger failure domain: two, so that one may die.
const WATCHERS: usize = 2;

/// Who watches the platform: the daemons whose incarnations hash highest in their failure domain.
/// Each works it out for itself. Views that differ for a while give a watcher too many or too few;
/// safety doesn't rest on it, since the others still read now and then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watchers {
    /// Whether this daemon is one.
    pub own: bool,
    /// Watchers in the fleet.
    pub count: usize,
    /// Daemons in the fleet.
    pub daemons: usize,
}

impl Watchers {
    /// Ranks the daemons that are alive, this one among them.
    pub fn among<'a>(
        own: Incarnation,
        alive: impl Iterator<Item = (&'a FailureDomain, Incarnation)>,
    ) -> Self {
        let mut ranks: BTreeMap<&FailureDomain, Vec<(u64, Incarnation)>> = BTreeMap::new();
        for (domain, incarnation) in alive {
            let rank = xxh3_64(&incarnation.0.to_be_bytes());
            ranks.entry(domain).or_default().push((rank, incarnation));
        }
        let mut watchers = Self {
            own: false,
            count: 0,
            daemons: 0,
        };
        for mut domain in ranks.into_values() {
            watchers.daemons += domain.len();
            if domain.len() > ALL_WATCH {
                domain.sort_unstable();
                domain.truncate(WATCHERS);
            }
            watchers.count += domain.len();
            watchers.own |= domain.iter().any(|(_, incarnation)| *incarnation == own);
        }
        watchers
    }

    /// This daemon's share of the reads that the whole fleet may make a second. Where some don't
    /// watch, the watchers share one half and the others the other.
    pub fn share(&self, reads_per_s: f64) -> f64 {
        let others = self.daemons - self.count;
        if others == 0 {
            return reads_per_s / self.count.max(1) as f64;
        }
        let sharers = if self.own { self.count } else { others };
        reads_per_s / 2.0 / sharers as f64
    }
}
