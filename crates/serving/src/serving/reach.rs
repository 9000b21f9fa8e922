//! Which targets this instance and its peers reach, and the peers through which requests are served that this instance
//! can't send itself.

use {
    super::Serving,
    crate::{
        fleet::Member,
        mechanism::Mechanism,
        names::{ServiceName, TargetId},
        reach::ReachStatement,
        targets::TargetEntry,
    },
    std::{
        cmp::Ordering,
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
};

/// An instance reports failed connections to at most the number of ready targets divided by this.
const REPORTED_TARGETS_DIVISOR: usize = 4;
/// Time between two statements of the services that are out of reach, in ms; the first one follows with the next tick.
const STATEMENT_INTERVAL_MS: u64 = 10_000;
/// Time for which a service must be out of reach before it is stated, in ms.
const MIN_OUTAGE_MS: u64 = 1_000;
/// Shortest time between two statements, in ms. Guards against an instance at the edge of its reach, each of whose
/// statements goes to all others.
const MIN_STATEMENT_INTERVAL_MS: u64 = 3_000;
/// Processor time, in thousandths of a core, for each request of a peer that may be in flight here.
const CPU_MILLIS_PER_FORWARD: u32 = 4;
/// Requests of peers that may be in flight at any instance, however small it is.
const MIN_FORWARDS: u32 = 16;

/// A peer to which a request is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardPeer {
    /// Run of the instance.
    pub run: u64,
    /// Address at which it accepts requests.
    pub caller_address: SocketAddr,
    /// Address at which it accepts peer links, by which it is known.
    pub peer_address: SocketAddr,
}

/// What this instance has stated of the targets that it reaches, and the forwarded requests in flight.
#[derive(Debug, Default)]
pub(super) struct ReachState {
    last_number: u64,
    /// The services that were last stated to be out of reach, and when.
    stated: Vec<ServiceName>,
    stated_at: MonoMs,
    /// Requests that this instance has forwarded to each peer and that are in flight.
    forwarded: HashMap<SocketAddr, u32>,
    /// Requests of peers that are in flight here.
    taken: u32,
}

impl Serving {
    /// Records that a connection to a target was opened. Queues notices for all peers of other targets to which one
    /// failed before.
    ///
    /// Returns whether the target's service is in reach again.
    pub fn record_connected(&mut self, now: MonoMs, target: &TargetId) -> bool {
        self.calls.record_heard(now, target);
        self.breaks.clear();
        let is_in_reach = self.targets.entry(target).is_some_and(|entry| {
            let targets = self.targets.ready(&entry.service).count();
            self.own_reach
                .record_connected(now, &entry.service, target, targets)
        });
        let confirmed = self.unconfirmed_failures.take_confirmed(now, target);
        // What failed while the service was out of reach says nothing of the targets.
        if !is_in_reach && !confirmed.is_empty() && !self.misses_many_targets(now) {
            self.news.for_all().unreachable.extend(confirmed);
        }
        is_in_reach
    }

    /// Records that no connection to a target could be opened. Returns whether its service is out of reach since.
    pub fn record_connection_failure(&mut self, now: MonoMs, target: &TargetId) -> bool {
        self.breaks.record(now, target);
        self.unexplained.record_unreachable(target);
        let Some(service) = self
            .targets
            .entry(target)
            .map(|entry| entry.service.clone())
        else {
            return false;
        };
        let targets = self.targets.ready(&service).count();
        self.own_reach.record_failed(now, &service, target, targets)
    }

    /// Records that a connection to a target broke while it ran a request.
    pub fn record_break(&mut self, now: MonoMs, target: &TargetId) {
        self.breaks.record(now, target);
    }

    /// Returns whether a failure at a target is more likely one of this instance's link: connections to others broke at
    /// the same time, or none of its service can be reached.
    pub fn is_link_suspect(&self, now: MonoMs, target: &TargetId) -> bool {
        let service = self.targets.entry(target).map(|entry| &entry.service);
        service.is_some_and(|service| self.is_out_of_reach(service))
            || self.breaks.has_other(now, target)
    }

    /// Records that a target has sent something to this instance, which counts more than what peers report of it.
    pub fn record_heard(&mut self, now: MonoMs, target: &TargetId) {
        self.calls.record_heard(now, target);
        if let Some(entry) = self.targets.entry(target) {
            self.own_reach.record_heard(now, &entry.service);
        }
    }

    /// Returns whether what is at work at targets of a service should go on through a peer: none can be reached over new
    /// connections, old ones are silent as well, and a peer may reach them.
    ///
    /// Guards against streams that are given up though their connections live on while new ones are refused.
    pub fn should_leave_service(&self, now: MonoMs, service: &ServiceName) -> bool {
        self.own_reach.are_old_connections_silent(now, service)
            && self.has_forward_peer(now, service, &[])
    }

    /// Returns whether connections to so many targets failed recently that the link of this instance is more likely at
    /// fault than each of them.
    fn misses_many_targets(&self, now: MonoMs) -> bool {
        let (mut all, mut missed) = (0, 0);
        for entry in self.targets.all_ready() {
            all += 1;
            missed += usize::from(self.calls.has_failed_connection(now, &entry.id));
        }
        missed > (all / REPORTED_TARGETS_DIVISOR).max(1)
    }

    /// Returns whether this instance can open connections to no target of a service, as far as it knows.
    pub fn is_out_of_reach(&self, service: &str) -> bool {
        self.mechanisms.is_enabled(Mechanism::Forwarding) && self.own_reach.is_out(service)
    }

    /// Returns the services that are out of reach.
    pub fn services_out_of_reach(&self) -> Vec<ServiceName> {
        self.own_reach.out_of_reach().cloned().collect()
    }

    /// Returns a target of each service to which a connection should be opened now, to find out whether the service is
    /// in reach again. While one service is out of reach all others are tried too. Targets take turns.
    pub fn targets_to_probe(&mut self, now: MonoMs) -> Vec<TargetEntry> {
        if self.own_reach.out_of_reach().next().is_none() {
            return Vec::new();
        }
        let run = self.own.run as usize;
        let services: Vec<ServiceName> = match &self.configuration {
            Some(configuration) => configuration.service_names().cloned().collect(),
            None => Vec::new(),
        };
        let mut targets = Vec::new();
        for service in services {
            let mut ready: Vec<&TargetEntry> = self.targets.ready(&service).collect();
            if ready.is_empty() {
                continue;
            }
            ready.sort_by(|left, right| left.id.cmp(&right.id));
            if let Some(number) = self.own_reach.take_probe(now, &service) {
                // Instances begin with different targets.
                let index = run.wrapping_add(number) % ready.len();
                targets.push(ready[index].clone());
            }
        }
        targets
    }

    /// Queues a statement of the services that are out of reach, if it differs from the last one or is to be repeated.
    pub(super) fn state_reach(&mut self, now: MonoMs) {
        self.peer_reach.evict_expired(now);
        let lasting = self.own_reach.out_of_reach_for(now, MIN_OUTAGE_MS);
        let out_of_reach: Vec<ServiceName> = lasting.cloned().collect();
        let has_changed = out_of_reach != self.reach.stated;
        if !has_changed && out_of_reach.is_empty() {
            return;
        }
        let interval_ms = if has_changed {
            MIN_STATEMENT_INTERVAL_MS
        } else {
            STATEMENT_INTERVAL_MS
        };
        let has_stated = self.reach.last_number > 0;
        if has_stated && now.since(self.reach.stated_at) < interval_ms {
            return;
        }
        self.reach.stated.clone_from(&out_of_reach);
        self.reach.stated_at = now;
        self.reach.last_number += 1;
        let statement = self.own_reach_statement();
        self.news.for_all().reach.push(statement);
    }

    fn own_reach_statement(&self) -> ReachStatement {
        ReachStatement {
            peer: self.own.peer_address,
            run: self.own.run,
            number: self.reach.last_number,
            out_of_reach: self.reach.stated.clone(),
        }
    }

    /// Returns the statements that begin a link: this instance's own, and, from a hub, those of peers that lack some
    /// services.
    pub(super) fn reach_statements(&self, now: MonoMs) -> Vec<ReachStatement> {
        let mut statements = if self.is_hub() {
            self.peer_reach.to_pass_on(now)
        } else {
            Vec::new()
        };
        if self.reach.last_number > 0 {
            statements.push(self.own_reach_statement());
        }
        statements
    }

    /// Returns the peer addresses of live instances, this one among them, that state to reach no target at all.
    pub(super) fn cut_off_instances(&self, now: MonoMs) -> HashSet<SocketAddr> {
        let own = self.own_reach.out_of_reach().next().is_some();
        if !own && !self.peer_reach.has_any(now) {
            return HashSet::new();
        }
        let services: HashSet<&ServiceName> = self
            .targets
            .all_ready()
            .map(|entry| &entry.service)
            .collect();
        let is_cut_off = |out_of_reach: &[ServiceName]| {
            !out_of_reach.is_empty()
                && services
                    .iter()
                    .all(|service| out_of_reach.contains(service))
        };
        let peers = self
            .members
            .live_members(now)
            .filter(|member| {
                let stated = self
                    .peer_reach
                    .out_of_reach(now, member.peer_address, member.run);
                is_cut_off(stated)
            })
            .map(|member| member.peer_address);
        let mut cut_off: HashSet<SocketAddr> = peers.collect();
        if is_cut_off(&self.services_out_of_reach()) {
            cut_off.insert(self.own.peer_address);
        }
        cut_off
    }

    /// Returns a peer that may serve a request for a service which this instance can't send itself, and counts the
    /// request as forwarded to it. Prefers strong instances, and of two the one with fewer forwarded requests. `None` if
    /// there is no live one that states nothing against it.
    pub fn choose_forward_peer(
        &mut self,
        now: MonoMs,
        service: &ServiceName,
        tried: &[SocketAddr],
    ) -> Option<ForwardPeer> {
        if !self.mechanisms.is_enabled(Mechanism::Forwarding) {
            return None;
        }
        let mut rng = self.rng.fork();
        let eligible: Vec<&Member> = self.forward_peers(now, service, tried).collect();
        let mut drawn = || draw_by_strength(&eligible, rng.f64());
        let pair = [drawn()?, drawn()?];
        let load = |member: &&Member| {
            let forwarded = self.reach.forwarded.get(&member.peer_address);
            f64::from(forwarded.copied().unwrap_or(0) + 1) / f64::from(member.cpu_millis.max(1))
        };
        let least = pair.into_iter().min_by(|left, right| {
            load(left)
                .partial_cmp(&load(right))
                .unwrap_or(Ordering::Equal)
        })?;
        let peer = ForwardPeer {
            run: least.run,
            caller_address: least.caller_address,
            peer_address: least.peer_address,
        };
        *self.reach.forwarded.entry(peer.peer_address).or_default() += 1;
        Some(peer)
    }

    /// Returns whether some live peer may serve requests for a service, other than those that were asked.
    pub fn has_forward_peer(
        &self,
        now: MonoMs,
        service: &ServiceName,
        tried: &[SocketAddr],
    ) -> bool {
        self.mechanisms.is_enabled(Mechanism::Forwarding)
            && self.forward_peers(now, service, tried).next().is_some()
    }

    /// Returns the live peers that may serve requests for a service, except those that were asked.
    fn forward_peers<'a>(
        &'a self,
        now: MonoMs,
        service: &'a ServiceName,
        tried: &'a [SocketAddr],
    ) -> impl Iterator<Item = &'a Member> {
        self.members
            .live_members(now)
            .filter(|member| member.ready && !member.leaving)
            .filter(|member| !tried.contains(&member.peer_address))
            .filter(move |member| {
                let out_of_reach =
                    self.peer_reach
                        .out_of_reach(now, member.peer_address, member.run);
                !out_of_reach.contains(service)
            })
    }

    /// Records the end of a request that was forwarded to a peer.
    pub fn record_forward_ended(&mut self, peer: SocketAddr) {
        if let Some(count) = self.reach.forwarded.get_mut(&peer) {
            *count -= 1;
            if *count == 0 {
                self.reach.forwarded.remove(&peer);
            }
        }
    }

    /// Returns whether a run of a peer is considered alive.
    pub fn is_live(&self, now: MonoMs, peer: &ForwardPeer) -> bool {
        let mut live = self.members.live_members(now);
        live.any(|member| member.peer_address == peer.peer_address && member.run == peer.run)
    }

    /// Takes a request of a peer, to be ended by [`Self::record_taken_forward_ended`]. Returns `false` if this instance
    /// has as many as its processor time allows.
    pub fn take_forward(&mut self) -> bool {
        let max = (self.own.cpu_millis / CPU_MILLIS_PER_FORWARD).max(MIN_FORWARDS);
        if self.reach.taken >= max {
            return false;
        }
        self.reach.taken += 1;
        true
    }

    /// Records the end of a request of a peer that was taken.
    pub fn record_taken_forward_ended(&mut self) {
        self.reach.taken = self.reach.taken.saturating_sub(1);
    }

    /// Returns the run of this instance, by which peers address requests to it.
    pub fn own_run(&self) -> u64 {
        self.own.run
    }
}

/// Draws an instance with a chance in proportion to its processor time; `draw` is a random number between 0 and 1.
fn draw_by_strength<'a>(members: &[&'a Member], draw: f64) -> Option<&'a Member> {
    let strength = |member: &&Member| f64::from(member.cpu_millis.max(1));
    let total: f64 = members.iter().map(strength).sum();
    let mut left = draw * total;
    for member in members {
        left -= strength(member);
        if left < 0.0 {
            return Some(*member);
        }
    }
    members.last().copied()
}
