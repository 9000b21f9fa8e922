use {
    super::{EngineGroup, Member, hash},
    crate::names::FailureDomain,
    std::{cmp::Reverse, net::SocketAddr},
};

/// Instances of a large fleet that link to all others and tell each who is alive: any one of them
/// is enough.
const HUBS: usize = 3;
/// Instances that are told of all prompts on a group of engines and choose for the others: one
/// chooses, two know all that it knows when it is gone.
const DECIDERS: usize = 3;

/// Which instances have a task for all others, as far as this one knows.
///
/// Views may differ between instances: one then hears from other hubs than its peers do, which tell
/// it the same; and a choice of engines by another instance, or alone, costs time and nothing else.
#[derive(Debug, Default)]
pub struct Ranks {
    is_large: bool,
    hubs: Vec<SocketAddr>,
    /// Those that serve, the strongest first.
    serving: Vec<SocketAddr>,
    /// Those of one failure domain, the strongest first.
    near: Vec<SocketAddr>,
}

impl Ranks {
    /// Ranks the instances that are taken for alive, this one among them, as one in a failure domain sees
    /// them.
    pub fn new<'a>(
        is_large: bool,
        domain: &FailureDomain,
        alive: impl Iterator<Item = &'a Member>,
    ) -> Self {
        let mut members: Vec<&Member> = alive.filter(|member| !member.leaving).collect();
        members.sort_by_cached_key(|member| {
            let tie = hash(0, member.peer_address);
            (Reverse(member.cpu_millis), tie)
        });
        let address = |member: &&Member| member.peer_address;
        let hubs = if is_large { HUBS } else { 0 };
        Self {
            is_large,
            hubs: members.iter().take(hubs).map(address).collect(),
            near: members
                .iter()
                .filter(|member| member.failure_domain == *domain)
                .map(address)
                .collect(),
            serving: members
                .iter()
                .filter(|member| member.ready)
                .map(address)
                .collect(),
        }
    }

    /// The instances that link to all others and tell who is alive; none in a small fleet.
    pub fn hubs(&self) -> &[SocketAddr] {
        &self.hubs
    }

    /// The instances of this one's failure domain, this one among them, the strongest first.
    pub fn near(&self) -> &[SocketAddr] {
        &self.near
    }

    /// The instances that serve, the strongest first.
    pub fn serving(&self) -> &[SocketAddr] {
        &self.serving
    }

    /// Whether there are too many instances for each to link to all others.
    pub fn is_large(&self) -> bool {
        self.is_large
    }

    /// Whether an instance is a hub now and was none in former ranks, or the fleet has become large
    /// or small.
    pub fn are_new_to(&self, own: SocketAddr, former: &Self) -> bool {
        let is_new_hub = self.hubs.contains(&own) && !former.hubs.contains(&own);
        is_new_hub || self.is_large != former.is_large
    }

    /// The instances that are told of all prompts on a group of engines, in an order that all
    /// instances agree on; the first of them chooses engines for those that aren't. All instances,
    /// in a small fleet.
    ///
    /// The load that this answers: many instances, of which each alone sees few prompts and must
    /// not spend its little processor time on hearing of all others.
    pub fn deciders(&self, group: EngineGroup) -> Vec<SocketAddr> {
        if !self.is_large {
            return self.serving.clone();
        }
        let strongest = self.serving.iter().take(DECIDERS * group.count as usize);
        let mut pool: Vec<SocketAddr> = strongest.copied().collect();
        pool.sort_by_cached_key(|address| hash(u64::from(group.number), *address));
        pool.truncate(DECIDERS);
        pool
    }
}
