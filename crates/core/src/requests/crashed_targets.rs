use {
    super::RunStatus,
    crate::time::MonoMs,
    std::collections::BTreeSet,
    whinlatch_wire::ids::{Incarnation, TargetName},
};

/// A report that arrives at least this long after an attempt broke proves that the target is alive, in ms.
/// An earlier report may have been written before the target died.
const MAX_REPORT_LAG_MS: u64 = 500;
/// Time after which a target whose status is still unknown is taken as alive, in ms.
const RESOLVE_TIMEOUT_MS: u64 = 5_000;

/// Runs of targets that may have crashed, since attempts broke there. Each is kept until it is known whether
/// it died.
#[derive(Debug, Default)]
pub(super) struct CrashedTargets {
    pending: Vec<SuspectedCrash>,
}

/// A run of a target, and the fingerprints of the requests that were in flight there when the
/// attempts broke.
#[derive(Debug)]
pub(super) struct SuspectedCrash {
    pub(super) target: TargetName,
    pub(super) incarnation: Incarnation,
    pub(super) in_flight: BTreeSet<u64>,
    has_other_work: bool,
    since: MonoMs,
}

impl SuspectedCrash {
    /// Returns whether exactly one request was running at the target.
    pub(super) fn was_alone(&self) -> bool {
        self.in_flight.len() == 1 && !self.has_other_work
    }
}

impl CrashedTargets {
    pub(super) fn record(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        incarnation: Incarnation,
        in_flight: impl Iterator<Item = u64>,
        has_other_work: bool,
    ) {
        let known = self
            .pending
            .iter_mut()
            .find(|c| c.incarnation == incarnation && c.target == *target);
        match known {
            Some(crash) => {
                crash.in_flight.extend(in_flight);
                crash.has_other_work |= has_other_work;
            }
            None => self.pending.push(SuspectedCrash {
                target: target.clone(),
                incarnation,
                in_flight: in_flight.collect(),
                has_other_work,
                since: now,
            }),
        }
    }

    /// Removes the runs whose status is known or timed out, and returns the dead ones.
    pub(super) fn resolve(
        &mut self,
        now: MonoMs,
        status: impl Fn(&TargetName, Incarnation) -> RunStatus,
    ) -> Vec<SuspectedCrash> {
        let mut dead = Vec::new();
        let mut pending = Vec::new();
        for crash in self.pending.drain(..) {
            match status(&crash.target, crash.incarnation) {
                RunStatus::Dead => dead.push(crash),
                RunStatus::Alive(at) if at.since(crash.since) >= MAX_REPORT_LAG_MS => {}
                RunStatus::Alive(_) | RunStatus::Unknown
                    if now.since(crash.since) > RESOLVE_TIMEOUT_MS => {}
                RunStatus::Alive(_) | RunStatus::Unknown => pending.push(crash),
            }
        }
        self.pending = pending;
        dead
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn clear(&mut self, fingerprint: u64) {
        for crash in &mut self.pending {
            crash.in_flight.remove(&fingerprint);
        }
    }

    /// Returns the number of pending crashes with the request in flight, and of those where it was alone.
    pub(super) fn count(&self, fingerprint: u64) -> (usize, usize) {
        let all = self
            .pending
            .iter()
            .filter(|crash| crash.in_flight.contains(&fingerprint));
        let alone = all.clone().filter(|crash| crash.was_alone());
        (all.count(), alone.count())
    }
}
