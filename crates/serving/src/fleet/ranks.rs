use {
    super::{EngineGroup, Member, hash},
    crate::names::FailureDomain,
    std::{cmp::Reverse, net::SocketAddr},
};

/// Number of hubs of a large fleet: instances that link to all others and send their rosters to them. One
/// is enough for the fleet to work.
const HUB_COUNT: usize = 3;
/// Number of instances that receive all prompts of a group of engines. The first chooses engines for the
/// other instances; the other two have the same knowledge when it fails.
const DECIDERS_PER_GROUP: usize = 3;

/// Roles of the instances in the fleet, as this instance sees them.
///
/// Views may differ between instances without harm: one with other hubs gets the same rosters from them,
/// and a choice of engines by another decider, or by the instance itself, costs only time.
#[derive(Debug, Default)]
pub struct Ranks {
    is_large: bool,
    hubs: Vec<SocketAddr>,
    /// Instances that serve requests, by descending processor time.
    ready: Vec<SocketAddr>,
    /// Instances that leave and go on serving what they take until then, by descending processor time.
    leaving: Vec<SocketAddr>,
    /// Instances of this one's failure domain, by descending processor time.
    in_own_domain: Vec<SocketAddr>,
}

impl Ranks {
    /// Ranks the live instances, including this one, as seen from a failure domain. Leaving instances get
    /// no role unless all others leave or are still starting.
    ///
    /// Guards against instances that all leave at the same time and choose engines without knowing of each other's
    /// prompts, so that streams take longer than the instances live.
    pub fn new<'a>(
        is_large: bool,
        domain: &FailureDomain,
        alive: impl Iterator<Item = &'a Member>,
    ) -> Self {
        let mut alive: Vec<&Member> = alive.collect();
        alive.sort_by_cached_key(|member| {
            let tie_breaker = hash(0, member.peer_address);
            (Reverse(member.cpu_millis), tie_breaker)
        });
        let (leaving, staying): (Vec<&Member>, Vec<&Member>) =
            alive.into_iter().partition(|member| member.leaving);
        let members = if staying.is_empty() {
            &leaving
        } else {
            &staying
        };
        let ready: Vec<&Member> = staying
            .iter()
            .copied()
            .filter(|member| member.ready)
            .collect();
        let address = |member: &&Member| member.peer_address;
        let hub_count = if is_large { HUB_COUNT } else { 0 };
        Self {
            is_large,
            hubs: members.iter().take(hub_count).map(address).collect(),
            in_own_domain: members
                .iter()
                .filter(|member| member.failure_domain == *domain)
                .map(address)
                .collect(),
            ready: if ready.is_empty() {
                leaving.iter().map(address).collect()
            } else {
                ready.iter().map(address).collect()
            },
            leaving: leaving.iter().map(address).collect(),
        }
    }

    /// Returns the instances that link to all others and send rosters; none in a small fleet.
    pub fn hubs(&self) -> &[SocketAddr] {
        &self.hubs
    }

    /// Returns the instances of this one's failure domain, including this one, by descending processor time.
    pub fn in_own_domain(&self) -> &[SocketAddr] {
        &self.in_own_domain
    }

    /// Returns the instances that serve requests, by descending processor time.
    pub fn ready(&self) -> &[SocketAddr] {
        &self.ready
    }

    /// Returns whether there are too many instances for each to link to all others.
    pub fn is_large(&self) -> bool {
        self.is_large
    }

    /// Returns whether `own` is a hub that it wasn't in the former ranks, or the fleet became large or
    /// small since.
    pub fn has_new_role(&self, own: SocketAddr, former: &Self) -> bool {
        let is_new_hub = self.hubs.contains(&own) && !former.hubs.contains(&own);
        is_new_hub || self.is_large != former.is_large
    }

    /// Returns the instances that receive all prompts of a group of engines, in an order on which all
    /// instances agree. The first one chooses engines for the instances that aren't among them. In a small
    /// fleet, all instances that serve requests, also those that leave.
    ///
    /// In a large fleet each instance handles few prompts of its own and must not spend its little
    /// processor time on receiving those of all others.
    pub fn deciders(&self, group: EngineGroup) -> Vec<SocketAddr> {
        if !self.is_large {
            let is_listed = |address: &&SocketAddr| self.ready.contains(address);
            let leaving = self.leaving.iter().filter(|address| !is_listed(address));
            return self.ready.iter().chain(leaving).copied().collect();
        }
        let strongest = self
            .ready
            .iter()
            .take(DECIDERS_PER_GROUP * group.count as usize);
        let mut pool: Vec<SocketAddr> = strongest.copied().collect();
        pool.sort_by_cached_key(|address| hash(u64::from(group.number), *address));
        pool.truncate(DECIDERS_PER_GROUP);
        pool
    }
}
