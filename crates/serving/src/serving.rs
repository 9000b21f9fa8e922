//! State of an entry instance and the decisions that it takes from it.

mod call_view;
mod calls;
mod configured;
mod crashes;
mod first_read;
mod hedges;
mod leaving;
mod members;
mod news;
mod notices;
mod parts;
mod peers;
mod prompts;
mod quotas;
mod reach;
mod relaying;
mod requests;

pub use {
    crashes::{BrokenAttempt, Inquiry},
    members::{Heartbeat, HeartbeatReach, WantedLinks},
    news::Recipients,
    parts::SOUND_EVENTS,
    reach::ForwardPeer,
    relaying::StoreRole,
    requests::{
        CallPlacement, CallRequest, DecisionInputs, PromptPlacement, PromptRequest, Refusal,
    },
};

use {
    crate::{
        calls::{FleetCalls, HedgeLimit},
        catalog::Configuration,
        engines::EngineLoads,
        fleet::{EngineGroup, EngineGroups, JobId, Member, Membership, PublishedText, hash},
        mechanism::DisabledMechanisms,
        quotas::{ColdLimitRule, QuotaTable},
        reach::{ConnectionBreaks, OwnReach, PeerReach, UnconfirmedFailures},
        relays::{FollowedRelays, Followers},
        retries::{
            Blame, BreakVerdict, CrashTracker, FleetBudget, FleetBudgetRule, PartTracker,
            UnexplainedBreaks,
        },
        shutdown::{AnswerDurations, Shutdown},
        targets::{CallLoads, TargetChange, TargetNotices, TargetRegistry},
    },
    news::News,
    peers::PeerLag,
    reach::ReachState,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    whinlatch_core::MonoMs,
};

/// Time after an instance took on a role until it knows all prompts that the role requires, in ms. Links open
/// within some hundred ms, and prompts in flight are sent with the next tick after that.
const ROLE_SETTLING_MS: u64 = 1_000;

/// State of an entry instance: its configuration, the targets, peers and relays that it knows, and the
/// prompts and calls in flight.
#[derive(Debug)]
pub struct Serving {
    own: Member,
    configuration: Option<Arc<Configuration>>,
    published: Option<PublishedText>,
    targets: TargetRegistry,
    engines: EngineLoads,
    calls: CallLoads,
    hedge_limit: HedgeLimit,
    /// Own failed connections that peers aren't told of yet.
    unconfirmed_failures: UnconfirmedFailures,
    breaks: ConnectionBreaks,
    /// The services of which this instance reaches no target.
    own_reach: OwnReach,
    /// The services of which peers state to reach no target.
    peer_reach: PeerReach,
    reach: ReachState,
    fleet_calls: FleetCalls,
    /// When the last row of a hub's view of plain targets arrived; `None` if none ever has.
    call_picture_at: Option<MonoMs>,
    notices: TargetNotices,
    quotas: QuotaTable,
    cold_rule: ColdLimitRule,
    last_permit_number: u64,
    members: Membership,
    budget: FleetBudget,
    crashes: CrashTracker,
    parts: PartTracker,
    /// Breaks under requests that wait for the fate of their targets.
    unexplained: UnexplainedBreaks,
    /// Final verdicts on such breaks that aren't logged yet.
    break_verdicts: Vec<BreakVerdict>,
    /// Requests and parts that are refused since, or aren't any more, and aren't logged yet.
    blames: Vec<Blame>,
    groups: EngineGroups,
    /// Groups in which peers were asked to choose engines for a prompt of this instance.
    requested_groups: HashMap<JobId, Vec<EngineGroup>>,
    news: News,
    last_job_number: u64,
    /// Number of heartbeats so far.
    heartbeat_number: u64,
    /// Own state as of the last heartbeat; `None` before the first.
    last_stated: Option<Member>,
    /// Whether this instance, as a hub, knows a change of a member that isn't in its last roster.
    is_roster_due: bool,
    /// When this instance knows all prompts that it should know, after its start or its last new role.
    settled_at: MonoMs,
    /// Published state that a peer has known for some time and this instance still lacks.
    lag: Option<PeerLag>,
    /// The relays that this instance follows, and what it knows of the store through them.
    followed_relays: FollowedRelays,
    /// The instances that follow this one.
    followers: Followers,
    /// Revision up to which settled peers know all removals to be those of targets that have left.
    settled_revision: u64,
    /// Whether this instance began to serve before it had read all targets.
    has_begun_with_part: bool,
    /// When this instance last completed a read of the store.
    read_at: Option<MonoMs>,
    /// Time of the first call that the store didn't answer since its last answer; `None` while it answers.
    store_lost_since: Option<MonoMs>,
    /// Mechanisms that are disabled; none by default.
    mechanisms: DisabledMechanisms,
    /// How long the answers of each route have taken of late.
    durations: AnswerDurations,
    /// The shutdown of this instance, if it was ordered to stop.
    shutdown: Option<Shutdown>,
    /// When a peer last reported a placed prompt; `None` if none ever has.
    last_peer_prompt_at: Option<MonoMs>,
    rng: fastrand::Rng,
}

impl Serving {
    /// Returns the state of an instance that has just started. `rule` limits the retries of the whole fleet.
    pub fn new(own: Member, rule: FleetBudgetRule) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(own.run),
            own,
            configuration: None,
            published: None,
            targets: TargetRegistry::default(),
            engines: EngineLoads::default(),
            calls: CallLoads::default(),
            hedge_limit: HedgeLimit::default(),
            unconfirmed_failures: UnconfirmedFailures::default(),
            breaks: ConnectionBreaks::default(),
            own_reach: OwnReach::default(),
            peer_reach: PeerReach::default(),
            reach: ReachState::default(),
            fleet_calls: FleetCalls::default(),
            call_picture_at: None,
            notices: TargetNotices::default(),
            quotas: QuotaTable::default(),
            cold_rule: ColdLimitRule::default(),
            last_permit_number: 0,
            members: Membership::default(),
            budget: FleetBudget::new(rule),
            crashes: CrashTracker::default(),
            parts: PartTracker::default(),
            unexplained: UnexplainedBreaks::default(),
            break_verdicts: Vec::new(),
            blames: Vec::new(),
            groups: EngineGroups::default(),
            requested_groups: HashMap::new(),
            news: News::default(),
            last_job_number: 0,
            heartbeat_number: 0,
            last_stated: None,
            is_roster_due: false,
            settled_at: MonoMs(0),
            lag: None,
            followed_relays: FollowedRelays::default(),
            followers: Followers::default(),
            settled_revision: 0,
            has_begun_with_part: false,
            read_at: None,
            store_lost_since: None,
            mechanisms: DisabledMechanisms::default(),
            durations: AnswerDurations::default(),
            shutdown: None,
            last_peer_prompt_at: None,
        }
    }

    /// Replaces the interval at which targets renew their entries, in ms. Called before the store is read.
    pub fn set_target_heartbeat_interval(&mut self, heartbeat_interval_ms: u64) {
        self.targets.set_heartbeat_interval(heartbeat_interval_ms);
    }

    /// Replaces the rule for requests to cold targets.
    pub fn set_cold_rule(&mut self, rule: ColdLimitRule) {
        self.cold_rule = rule;
    }

    /// Replaces the set of mechanisms that are switched off, none by default.
    pub fn disable_mechanisms(&mut self, mechanisms: DisabledMechanisms) {
        self.mechanisms = mechanisms;
    }

    /// Returns whether requests can be served: there is a configuration, targets are known, and the
    /// instance wasn't ordered to stop.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.targets.is_initialized() && !self.own.leaving
    }

    /// Returns the addresses that a caller may use: those of at most `max_addresses` live and ready
    /// instances.
    ///
    /// Callers store that many addresses and close connections to addresses that a later answer lacks.
    /// Where there are more, a caller therefore gets the same ones from every instance that it asks, and
    /// different callers get different ones, so that together they use all instances.
    ///
    /// Instances that reach no target are left out, since their callers are served through others, unless that would
    /// leave less than half of all: the rest would get more than twice its callers within a second, and a statement
    /// that is wrong because the targets themselves are gone would herd them.
    pub fn caller_addresses(
        &self,
        now: MonoMs,
        caller: IpAddr,
        max_addresses: usize,
    ) -> Vec<SocketAddr> {
        let own = self.own_member(now);
        let peers = self.members.live_members(now);
        let serving: Vec<&Member> = peers
            .chain([&own])
            .filter(|member| member.ready && !member.leaving)
            .collect();
        let cut_off = self.cut_off_instances(now);
        let in_reach = serving
            .iter()
            .filter(|member| !cut_off.contains(&member.peer_address));
        let leaves_out_cut_off = in_reach.clone().count() >= serving.len().div_ceil(2);
        let mut addresses: Vec<SocketAddr> = serving
            .iter()
            .filter(|member| !leaves_out_cut_off || !cut_off.contains(&member.peer_address))
            .map(|member| member.caller_address)
            .collect();
        if addresses.len() > max_addresses {
            let salt = hash(0, SocketAddr::new(caller, 0));
            addresses.sort_by_cached_key(|address| hash(salt, *address));
            addresses.truncate(max_addresses);
        }
        addresses.sort_unstable();
        addresses
    }

    /// Applies what follows from the passage of time alone: silent peers, expired records, ranks, groups
    /// and relays. Returns the unconfirmed removals that take effect.
    pub fn tick(&mut self, now: MonoMs) -> Vec<TargetChange> {
        let confirmed = self.targets.confirm_removals(now);
        if !confirmed.is_empty() {
            self.followers.schedule_update();
        }
        self.detect_lag(now);
        for run in self.members.silent_runs(now) {
            self.engines.remove_run(run, &[]);
            self.fleet_calls.forget_run(run);
        }
        self.members.evict_expired(now);
        self.crashes.evict_expired(now);
        self.parts.evict_expired(now);
        self.settle_breaks(now);
        self.state_held_back_parts(now);
        self.update_ranks(now);
        self.resize_groups(now);
        self.tick_relays(now);
        let targets = &self.targets;
        self.engines
            .evict_expired(now, |id| targets.entry(id).is_some());
        self.calls.retain(|id| targets.entry(id).is_some());
        self.fleet_calls
            .evict_expired(now, |id| targets.entry(id).is_some());
        self.notices
            .evict_expired(now, |id| targets.entry(id).is_some());
        self.quotas.evict_expired(now);
        self.state_reach(now);
        self.update_call_view(now);
        confirmed
    }

    /// Ranks the live members again. A new role of this instance restarts its settling time.
    fn update_ranks(&mut self, now: MonoMs) {
        let own = self.own_member(now);
        if self.members.rank(now, &own) || self.settled_at == MonoMs(0) {
            self.settled_at = now + ROLE_SETTLING_MS;
        }
    }

    /// Adopts the number of engine groups of the first responsive hub, or derives it from the ready engines
    /// if that is this instance.
    ///
    /// Guards against a lasting disagreement on the number of groups. Since the number falls again only far
    /// below where it rose, instances of which some had seen many engines at the same time while targets
    /// were replaced, and others not, would keep different numbers. Each engine then got prompts from two
    /// deciders that didn't know of each other's prompts, and of 3,936 short prompts in eleven seconds 478
    /// began late.
    fn resize_groups(&mut self, now: MonoMs) {
        if let Some(count) = self.members.hub_group_count(now, self.own.peer_address) {
            self.groups.adopt(count);
            return;
        }
        let is_engine = |service: &str| self.spec_of_service(service).is_some();
        let engines = self.targets.all_ready();
        let engines = engines.filter(|entry| is_engine(&entry.service)).count();
        self.groups.resize(engines);
    }

    /// Restarts the silence timers of all peers after the host paused the process: during a pause no frames
    /// arrive, so the silence doesn't show that a peer is gone.
    pub fn on_process_resumed(&mut self, now: MonoMs) {
        self.members.reset_silence(now);
    }
}
