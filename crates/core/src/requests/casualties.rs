use {
    super::Fate,
    crate::time::MonoMs,
    std::collections::BTreeSet,
    whinlatch_wire::ids::{Incarnation, TargetName},
};

/// A report that comes this long after an attempt broke off shows that the target lives, in ms.
/// An earlier one may have been written before it died.
const REPORT_LAG_MS: u64 = 500;
/// After this long without a verdict the target is taken to live, in ms.
const OPEN_MS: u64 = 5_000;

/// Runs of targets where attempts broke off, until it is known whether they died.
#[derive(Debug, Default)]
pub(super) struct Casualties {
    open: Vec<Casualty>,
}

/// A run of a target, and the fingerprints of what was in flight there when the first broke off.
#[derive(Debug)]
pub(super) struct Casualty {
    pub(super) target: TargetName,
    pub(super) incarnation: Incarnation,
    pub(super) in_flight: BTreeSet<u64>,
    others: bool,
    since: MonoMs,
}

impl Casualty {
    /// Whether one request was alone there.
    pub(super) fn was_alone(&self) -> bool {
        self.in_flight.len() == 1 && !self.others
    }
}

impl Casualties {
    pub(super) fn note(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        incarnation: Incarnation,
        in_flight: impl Iterator<Item = u64>,
        others: bool,
    ) {
        let known = self
            .open
            .iter_mut()
            .find(|c| c.incarnation == incarnation && c.target == *target);
        match known {
            Some(casualty) => {
                casualty.in_flight.extend(in_flight);
                casualty.others |= others;
            }
            None => self.open.push(Casualty {
                target: target.clone(),
                incarnation,
                in_flight: in_flight.collect(),
                others,
                since: now,
            }),
        }
    }

    /// Takes out those that are decided; returns the dead.
    pub(super) fn settle(
        &mut self,
        now: MonoMs,
        fate: impl Fn(&TargetName, Incarnation) -> Fate,
    ) -> Vec<Casualty> {
        let mut dead = Vec::new();
        let mut open = Vec::new();
        for casualty in self.open.drain(..) {
            match fate(&casualty.target, casualty.incarnation) {
                Fate::Dead => dead.push(casualty),
                Fate::Alive(at) if at.since(casualty.since) >= REPORT_LAG_MS => {}
                Fate::Alive(_) | Fate::Unsure if now.since(casualty.since) > OPEN_MS => {}
                Fate::Alive(_) | Fate::Unsure => open.push(casualty),
            }
        }
        self.open = open;
        dead
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn absolve(&mut self, fingerprint: u64) {
        for casualty in &mut self.open {
            casualty.in_flight.remove(&fingerprint);
        }
    }

    /// In how many a request was in flight, and in how many alone.
    pub(super) fn count(&self, fingerprint: u64) -> (usize, usize) {
        let all = self
            .open
            .iter()
            .filter(|casualty| casualty.in_flight.contains(&fingerprint));
        let alone = all.clone().filter(|casualty| casualty.was_alone());
        (all.count(), alone.count())
    }
}
