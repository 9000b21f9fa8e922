use {
    std::collections::BTreeMap,
    whinlatch_wire::ids::{FailureDomain, Incarnation},
    xxhash_rust::xxh3::xxh3_64,
};

/// Largest number of daemons in a failure domain of which all watch the platform.
const MAX_ALL_WATCH_DAEMONS: usize = 4;
/// Watchers in a larger failure domain: two, so that one may fail.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Election of the daemons that watch the platform: those whose incarnations hash lowest in their
/// failure domain.
///
/// Each daemon computes it from its own membership view. While views differ there may be too many
/// or too few watchers; safety doesn't depend on it, since the other daemons still read
/// occasionally.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watchers {
    /// Whether this daemon is a watcher.
    pub includes_self: bool,
    /// Number of watchers in the fleet.
    pub watcher_count: usize,
    /// Number of daemons in the fleet that are considered alive.
    pub daemon_count: usize,
}

impl Watchers {
    /// Elects the watchers among the daemons that are alive; `alive` includes this daemon.
    pub fn elect<'a>(
        own: Incarnation,
        alive: impl Iterator<Item = (&'a FailureDomain, Incarnation)>,
    ) -> Self {
        let mut ranks: BTreeMap<&FailureDomain, Vec<(u64, Incarnation)>> = BTreeMap::new();
        for (domain, incarnation) in alive {
            let rank = xxh3_64(&incarnation.0.to_be_bytes());
            ranks.entry(domain).or_default().push((rank, incarnation));
        }
        let mut watchers = Self {
            includes_self: false,
            watcher_count: 0,
            daemon_count: 0,
        };
        for mut domain in ranks.into_values() {
            watchers.daemon_count += domain.len();
            if domain.len() > MAX_ALL_WATCH_DAEMONS {
                domain.sort_unstable();
                domain.truncate(WATCHERS_PER_DOMAIN);
            }
            watchers.watcher_count += domain.len();
            watchers.includes_self |= domain.iter().any(|(_, incarnation)| *incarnation == own);
        }
        watchers
    }

    /// Returns this daemon's share of `reads_per_s`, the reads that the whole fleet may make in a
    /// second. Where some daemons don't watch, the watchers share one half and the others the other
    /// half.
    pub fn share(&self, reads_per_s: f64) -> f64 {
        let others = self.daemon_count - self.watcher_count;
        if others == 0 {
            return reads_per_s / self.watcher_count.max(1) as f64;
        }
        let sharers = if self.includes_self {
            self.watcher_count
        } else {
            others
        };
        reads_per_s / 2.0 / sharers as f64
    }
}
