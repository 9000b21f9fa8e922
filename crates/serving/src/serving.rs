//! All that an entry instance knows and decides by.

mod asks;
mod calls;
mod configured;
mod members;
mod news;
mod notices;
mod peers;
mod prompts;
mod quotas;
mod relaying;

pub use {
    asks::{CallPlacement, CallRequest, DecisionInputs, PromptPlacement, PromptRequest, Refusal},
    members::WantedLinks,
    news::Recipients,
    relaying::StoreRole,
};

use {
    crate::{
        catalog::Configuration,
        engines::EngineLoads,
        fleet::{EngineGroup, EngineGroups, JobId, Member, Membership, PublishedText, hash},
        mechanism::Without,
        quotas::QuotaTable,
        relays::{FollowedRelays, Followers},
        retries::{CrashTracker, FleetBudget, FleetBudgetRule},
        targets::{CallLoads, TargetNotices, TargetRegistry},
    },
    news::News,
    peers::PeerLag,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    whinlatch_core::MonoMs,
};

/// Time until an instance that is to be told of all prompts has been told, in ms: a link opens within
/// some hundred, and the prompts at work are told with the next look after that.
const TASK_SETTLING_MS: u64 = 1_000;

/// All that an entry instance knows and decides by.
#[derive(Debug)]
pub struct Serving {
    own: Member,
    configuration: Option<Arc<Configuration>>,
    published: Option<PublishedText>,
    targets: TargetRegistry,
    engines: EngineLoads,
    calls: CallLoads,
    notices: TargetNotices,
    quotas: QuotaTable,
    next_permit: u64,
    members: Membership,
    budget: FleetBudget,
    crashes: CrashTracker,
    groups: EngineGroups,
    /// The groups of engines in which peers were asked to choose for a prompt of this instance.
    asked_groups: HashMap<JobId, Vec<EngineGroup>>,
    news: News,
    next_job: u64,
    /// What the last heartbeat said of this instance.
    told: Option<Member>,
    /// Whether a hub has heard something new of somebody.
    is_roster_due: bool,
    /// When this instance has been told of all prompts that it is to know, after its start or its last
    /// new task.
    settled_at: MonoMs,
    /// What peers have known for a while and this instance doesn't.
    behind: Option<PeerLag>,
    /// The relays that this instance goes by, and what it knows through them.
    following: FollowedRelays,
    /// Those that go by this instance.
    followers: Followers,
    /// When the store last told this instance what was published.
    read_at: Option<MonoMs>,
    /// Since when the store doesn't answer this instance.
    cut_off_since: Option<MonoMs>,
    without: Without,
    /// When a peer last told of a prompt.
    heard_at: Option<MonoMs>,
    rng: fastrand::Rng,
}

impl Serving {
    /// State of an instance that has just started.
    pub fn new(own: Member, rule: FleetBudgetRule) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(own.run),
            own,
            configuration: None,
            published: None,
            targets: TargetRegistry::default(),
            engines: EngineLoads::default(),
            calls: CallLoads::default(),
            notices: TargetNotices::default(),
            quotas: QuotaTable::default(),
            next_permit: 0,
            members: Membership::default(),
            budget: FleetBudget::new(rule),
            crashes: CrashTracker::default(),
            groups: EngineGroups::default(),
            asked_groups: HashMap::new(),
            news: News::default(),
            next_job: 0,
            told: None,
            is_roster_due: false,
            settled_at: MonoMs(0),
            behind: None,
            following: FollowedRelays::default(),
            followers: Followers::default(),
            read_at: None,
            cut_off_since: None,
            without: Without::default(),
            heard_at: None,
        }
    }

    /// Switches parts of the decisions off.
    pub fn disable_mechanisms(&mut self, without: Without) {
        self.without = without;
    }

    /// Whether requests can be served: there is a configuration, targets are known, and the
    /// instance wasn't told to stop.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.targets.is_known() && !self.own.leaving
    }

    /// Whether the instance was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.own.leaving
    }

    /// Notes that the instance was told to stop.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Addresses that a caller may use: the instances that are taken for alive and ready.
    ///
    /// Callers take note of `most` addresses and close connections to those that a later answer
    /// lacks. So where there are more, each caller is always told the same ones, whichever instance
    /// it asks, and all callers together all of them.
    pub fn caller_addresses(&self, now: MonoMs, caller: IpAddr, most: usize) -> Vec<SocketAddr> {
        let own = self.is_ready().then_some(self.own.caller_address);
        let peers = self
            .members
            .live_members(now)
            .filter(|member| member.ready && !member.leaving)
            .map(|member| member.caller_address);
        let mut addresses: Vec<SocketAddr> = own.into_iter().chain(peers).collect();
        if addresses.len() > most {
            let salt = hash(0, SocketAddr::new(caller, 0));
            addresses.sort_by_cached_key(|address| hash(salt, *address));
            addresses.truncate(most);
        }
        addresses.sort_unstable();
        addresses
    }

    /// Settles what time alone decides.
    pub fn tick(&mut self, now: MonoMs) {
        self.targets.confirm_removals(now);
        self.detect_lag(now);
        for run in self.members.silent_runs(now) {
            self.engines.remove_run(run, &[]);
        }
        self.members.evict_expired(now);
        self.crashes.evict_expired(now);
        self.update_ranks(now);
        self.resize_groups(now);
        self.tick_relays(now);
        let targets = &self.targets;
        self.engines
            .evict_expired(now, |id| targets.entry(id).is_some());
        self.calls.retain(|id| targets.entry(id).is_some());
        self.notices
            .evict_expired(now, |id| targets.entry(id).is_some());
        self.quotas.evict_expired(now);
    }

    fn update_ranks(&mut self, now: MonoMs) {
        let own = self.own_member(now);
        if self.members.rank(now, &own) || self.settled_at == MonoMs(0) {
            self.settled_at = now + TASK_SETTLING_MS;
        }
    }

    /// Guards against two views of the number of groups, which last, since it changes back only far below
    /// where it changed: while targets were replaced some instances had heard of so many engines at once, and
    /// others not. Each engine then got prompts of two deciders that knew nothing of each other's, and of
    /// 3,936 short prompts in eleven seconds 478 began late.
    fn resize_groups(&mut self, now: MonoMs) {
        if let Some(told) = self.members.hub_group_count(now, self.own.peer_address) {
            self.groups.adopt(told);
            return;
        }
        let is_engine = |service: &str| self.spec_of_service(service).is_some();
        let engines = self.targets.all_ready();
        let engines = engines.filter(|entry| is_engine(&entry.service)).count();
        self.groups.resize(engines);
    }

    /// The process was paused: what it heard before says nothing of now.
    pub fn on_process_resumed(&mut self, now: MonoMs) {
        self.members.reset_silence(now);
    }
}
