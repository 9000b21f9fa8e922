use {
    crate::names::{ServiceName, TargetId},
    std::collections::{BTreeMap, HashMap},
    whinlatch_core::MonoMs,
};

/// Targets of a service to which connections must fail, without one that succeeds, before the service counts as out of
/// reach. Fewer may have crashed at the same time.
const FAILED_TARGETS: usize = 3;
/// Time for which a failed connection counts, in ms: longer than connections to three targets take to time out one
/// after the other.
const FAILURE_TTL_MS: u64 = 3_000;
/// Silence of all open connections to a service that is out of reach, after which they are taken to be broken too, in
/// ms: targets at work send something in some pass shorter than this.
const SILENCE_MS: u64 = 700;
/// Time between two probes of a service that is out of reach, in ms.
const PROBE_INTERVAL_MS: u64 = 250;

/// Connections of this instance to the targets of one service.
#[derive(Debug, Default)]
struct ServiceReach {
    /// Targets to which the last connection failed, and when.
    failed: HashMap<TargetId, MonoMs>,
    /// When a connection to any of the targets was last opened, since the first one failed.
    connected_at: Option<MonoMs>,
    /// Since when the service is out of reach; `None` while it isn't.
    out_since: Option<MonoMs>,
    /// When a target last sent something over a connection that was opened before.
    heard_at: Option<MonoMs>,
    probed_at: Option<MonoMs>,
    /// Number of probes so far, by which targets take turns.
    probes: usize,
}

impl ServiceReach {
    fn evict_expired(&mut self, now: MonoMs) {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL_MS);
    }

    /// Returns the number of targets to which a connection failed since one was opened to any.
    fn failed_in_a_row(&self) -> usize {
        let is_later = |at: &MonoMs| {
            self.connected_at
                .is_none_or(|connected_at| *at > connected_at)
        };
        self.failed.values().filter(|at| is_later(at)).count()
    }

    /// Returns whether the last connections to more than half of the targets failed.
    fn misses_most(&self, targets: usize) -> bool {
        2 * self.failed.len() > targets
    }
}

/// The services whose targets this instance can't reach.
///
/// A service is out of reach after connections to several of its targets have failed in a row. It is in reach again once
/// one is opened, unless those to most of the targets have failed a short time ago: the few that are left would get all
/// requests. Only new connections count: those that were opened before may live on though no new one can be opened.
#[derive(Debug, Default)]
pub struct OwnReach {
    services: BTreeMap<ServiceName, ServiceReach>,
}

impl OwnReach {
    /// Records a connection to a target that was opened; `targets` is the number of targets of its service. Returns
    /// whether the service is in reach again.
    pub fn record_connected(
        &mut self,
        now: MonoMs,
        service: &ServiceName,
        target: &TargetId,
        targets: usize,
    ) -> bool {
        let Some(reach) = self.services.get_mut(service) else {
            return false;
        };
        reach.evict_expired(now);
        reach.failed.remove(target);
        reach.connected_at = Some(now);
        if reach.misses_most(targets) {
            return false;
        }
        reach.out_since.take().is_some()
    }

    /// Records a connection to a target that failed; `targets` is the number of targets of its service. Returns whether
    /// the service is out of reach since.
    ///
    /// While another service is out of reach, one failure is enough: it is likely that none can be reached.
    pub fn record_failed(
        &mut self,
        now: MonoMs,
        service: &ServiceName,
        target: &TargetId,
        targets: usize,
    ) -> bool {
        let is_other_out = self.out_of_reach().next().is_some();
        let needed = if is_other_out { 1 } else { FAILED_TARGETS };
        let reach = self.services.entry(service.clone()).or_default();
        reach.evict_expired(now);
        reach.failed.insert(target.clone(), now);
        if reach.out_since.is_some() || reach.failed_in_a_row() < needed.min(targets.max(1)) {
            return false;
        }
        reach.out_since = Some(now);
        true
    }

    /// Returns whether a service is out of reach.
    pub fn is_out(&self, service: &str) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.out_since.is_some())
    }

    /// Records that a target of a service has sent something over an open connection.
    pub fn record_heard(&mut self, now: MonoMs, service: &str) {
        if let Some(reach) = self.services.get_mut(service) {
            reach.heard_at = Some(now);
        }
    }

    /// Returns whether the connections that were opened before a service got out of reach are silent as well, as far
    /// as can be seen: no target has sent anything over them since.
    pub fn are_old_connections_silent(&self, now: MonoMs, service: &str) -> bool {
        let Some(reach) = self.services.get(service) else {
            return false;
        };
        reach.out_since.is_some_and(|out_since| {
            let is_heard = reach.heard_at.is_some_and(|heard_at| heard_at >= out_since);
            !is_heard && now.since(out_since) >= SILENCE_MS
        })
    }

    /// Returns the services that are out of reach.
    pub fn out_of_reach(&self) -> impl Iterator<Item = &ServiceName> {
        self.services
            .iter()
            .filter(|(_, reach)| reach.out_since.is_some())
            .map(|(service, _)| service)
    }

    /// Returns the services that have been out of reach for some time, in ms.
    pub fn out_of_reach_for(&self, now: MonoMs, ms: u64) -> impl Iterator<Item = &ServiceName> {
        self.services
            .iter()
            .filter(move |(_, reach)| reach.out_since.is_some_and(|since| now.since(since) >= ms))
            .map(|(service, _)| service)
    }

    /// Returns the number of the probe of a service that is due, 0 for its first one; `None` if none is. Services that
    /// are in reach are probed once for each time that another one gets out of reach.
    pub fn take_probe(&mut self, now: MonoMs, service: &ServiceName) -> Option<usize> {
        let last_out = self
            .services
            .values()
            .filter_map(|reach| reach.out_since)
            .max()?;
        let reach = self.services.entry(service.clone()).or_default();
        let was_probed = |at: MonoMs| {
            if reach.out_since.is_some() {
                now.since(at) < PROBE_INTERVAL_MS
            } else {
                at >= last_out
            }
        };
        if reach.probed_at.is_some_and(was_probed) {
            return None;
        }
        reach.probed_at = Some(now);
        reach.probes += 1;
        Some(reach.probes - 1)
    }
}
