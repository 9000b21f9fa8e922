use {
    super::Weight,
    std::{
        collections::HashMap,
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    },
    whinlatch_wire::record::RouteRecord,
};

/// What one request costs its provider; each request gives each provider its share of this.
const WHOLE: i64 = 1_000;
/// Most that a provider may be owed. Guards against a burst to a provider that was away for long and
/// is back: it is made up for this much and no more.
const MOST_OWED: i64 = 2 * WHOLE;

/// Which provider is next for each route. The provider that is owed most gets the request, so that
/// the shares hold over any stretch of requests and not only on average. Each daemon begins at a point
/// of its own in the sequence, so that they don't all send to one provider at once. Light, medium and
/// long prompts are counted apart, so that the work is shared out like the requests.
#[derive(Debug, Default)]
pub struct Shares {
    owed: HashMap<(u64, Weight), Vec<i64>>,
    hasher: BuildHasherDefault<DefaultHasher>,
}

impl Shares {
    /// The place of the next provider in a route's list.
    pub fn next(&mut self, route: &RouteRecord, weight: Weight, rng: &mut fastrand::Rng) -> usize {
        let owed = self.owed(route, weight, rng);
        for (owed, share) in owed.iter_mut().zip(&route.providers) {
            *owed = (*owed + i64::from(share.share_per_mille)).min(MOST_OWED);
        }
        let places = route.providers.iter().zip(owed.iter()).enumerate();
        places
            .filter(|(_, (share, _))| share.share_per_mille > 0)
            .max_by_key(|(_, (_, owed))| **owed)
            .map_or(0, |(place, _)| place)
    }

    /// Counts a request to the provider that gets it, which may be another than was next.
    pub fn used(
        &mut self,
        route: &RouteRecord,
        weight: Weight,
        place: usize,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(owed) = self.owed(route, weight, rng).get_mut(place) {
            *owed = (*owed - WHOLE).max(-MOST_OWED);
        }
    }

    fn owed(
        &mut self,
        route: &RouteRecord,
        weight: Weight,
        rng: &mut fastrand::Rng,
    ) -> &mut Vec<i64> {
        let shares = route.providers.iter();
        let shares: Vec<_> = shares.map(|s| (&s.provider, s.share_per_mille)).collect();
        let identity = (&route.subject, &route.accounts, &route.callers, shares);
        let key = (self.hasher.hash_one(identity), weight);
        self.owed
            .entry(key)
            .or_insert_with(|| random_start(route, rng))
    }
}

/// Where a daemon begins: the point of the sequence that a random number of requests leads to.
fn random_start(route: &RouteRecord, rng: &mut fastrand::Rng) -> Vec<i64> {
    let steps = rng.i64(0..WHOLE);
    let mut owed: Vec<i64> = vec![0; route.providers.len()];
    for _ in 0..steps {
        for (owed, share) in owed.iter_mut().zip(&route.providers) {
            *owed += i64::from(share.share_per_mille);
        }
        if let Some(most) = owed.iter_mut().max() {
            *most -= WHOLE;
        }
    }
    owed
}
