use {
    super::Weight,
    std::{
        collections::HashMap,
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    },
    whinlatch_wire::record::RouteRecord,
};

/// Credit that a request costs its provider. Each request also adds to every provider its share in
/// thousandths, so that the credits of a route stay balanced.
const REQUEST_COST: i64 = 1_000;
/// Maximum credit of a provider. Guards against a burst to a provider that returns after a long
/// absence: only this much is made up for.
const MAX_CREDIT: i64 = 2 * REQUEST_COST;

/// Selects the next provider of each route by weighted round robin: the provider with the most credit
/// gets the request, so that the shares hold over every run of requests and not only on average. Each
/// daemon starts at a random point of the sequence, so that they don't all send to one provider at the
/// same time. Light, medium and long prompts are counted separately, so that the work is distributed by
/// the same shares as the requests.
#[derive(Debug, Default)]
pub struct ProviderRotation {
    credits: HashMap<(u64, Weight), Vec<i64>>,
    hasher: BuildHasherDefault<DefaultHasher>,
}

impl ProviderRotation {
    /// Adds each provider's share to its credit and returns the index of the next provider in the
    /// route's list; 0 if no provider has a share.
    pub fn next(&mut self, route: &RouteRecord, weight: Weight, rng: &mut fastrand::Rng) -> usize {
        let credits = self.credits(route, weight, rng);
        for (credit, share) in credits.iter_mut().zip(&route.providers) {
            *credit = (*credit + i64::from(share.share_per_mille)).min(MAX_CREDIT);
        }
        let providers = route.providers.iter().zip(credits.iter()).enumerate();
        providers
            .filter(|(_, (share, _))| share.share_per_mille > 0)
            .max_by_key(|(_, (_, credit))| **credit)
            .map_or(0, |(index, _)| index)
    }

    /// Charges a request to the provider that gets it, which needn't be the one that was next.
    pub fn charge(
        &mut self,
        route: &RouteRecord,
        weight: Weight,
        index: usize,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(credit) = self.credits(route, weight, rng).get_mut(index) {
            *credit = (*credit - REQUEST_COST).max(-MAX_CREDIT);
        }
    }

    fn credits(
        &mut self,
        route: &RouteRecord,
        weight: Weight,
        rng: &mut fastrand::Rng,
    ) -> &mut Vec<i64> {
        let shares = route.providers.iter();
        let shares: Vec<_> = shares.map(|s| (&s.provider, s.share_per_mille)).collect();
        let identity = (&route.subject, &route.accounts, &route.callers, shares);
        let key = (self.hasher.hash_one(identity), weight);
        self.credits
            .entry(key)
            .or_insert_with(|| random_start(route, rng))
    }
}

/// Returns the credits after a random number of requests, at which this daemon starts.
fn random_start(route: &RouteRecord, rng: &mut fastrand::Rng) -> Vec<i64> {
    let steps = rng.i64(0..REQUEST_COST);
    let mut credits: Vec<i64> = vec![0; route.providers.len()];
    for _ in 0..steps {
        for (credit, share) in credits.iter_mut().zip(&route.providers) {
            *credit += i64::from(share.share_per_mille);
        }
        if let Some(largest) = credits.iter_mut().max() {
            *largest -= REQUEST_COST;
        }
    }
    credits
}
