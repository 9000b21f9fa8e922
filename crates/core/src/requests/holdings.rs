use {
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{AttemptId, TargetName},
        target::Holding,
    },
};

/// How far past its deadline a holding may be, in ms. The target frees it itself within this.
const OVERDUE_GRACE_MS: u64 = 2_000;
/// How long a holding of a dead daemon is left alone, in ms. Longer than a false death lasts.
const DEAD_GRACE_MS: u64 = 5_000;
/// How long an own holding that isn't known here is left alone, in ms: reports lag.
const OWN_GRACE_MS: u64 = 1_000;
/// How much longer each daemon waits than the one that ranks before it, in ms.
const PLACE_STEP_MS: u64 = 1_000;
/// Daemons beyond this place wait no longer.
const LAST_PLACE: usize = 10;
/// Time between two attempts to free one holding, in ms.
const AGAIN_MS: u64 = 1_000;

/// Why a holding at a target should not be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It is past its deadline.
    Overdue,
    /// Its owner is dead.
    OwnerDead,
    /// It is this daemon's, and over: the cancel got lost.
    Over,
}

/// Memory at targets that nobody will give back, seen in load reports.
///
/// Guards against the loss of an engine's memory for good: the owner died, or its cancel got lost.
/// Every daemon sees every report and frees what is at fault. The daemon that ranks first for the
/// target does so first, to save messages; the others follow one by one, so that nothing rests on
/// the ranking. Freeing is idempotent.
#[derive(Debug, Default)]
pub struct HoldingWatch {
    by_target: BTreeMap<TargetName, HashMap<AttemptId, Seen>>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    since: MonoMs,
    freed: Option<MonoMs>,
}

impl HoldingWatch {
    /// Takes in the holdings at fault of one report. Returns those to free now. `place` is this
    /// daemon's rank for the target, from 0.
    pub fn report(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        faults: &[(&Holding, Fault)],
        place: usize,
    ) -> Vec<Holding> {
        let former = self.by_target.remove(target).unwrap_or_default();
        let mut seen_now = HashMap::new();
        let mut to_free = Vec::new();
        for (holding, fault) in faults {
            let mut seen = former.get(&holding.attempt).copied().unwrap_or(Seen {
                since: now,
                freed: None,
            });
            let due = now.since(seen.since) >= wait_ms(*fault, place);
            if due && seen.freed.is_none_or(|freed| now.since(freed) >= AGAIN_MS) {
                seen.freed = Some(now);
                to_free.push((*holding).clone());
            }
            seen_now.insert(holding.attempt, seen);
        }
        if !seen_now.is_empty() {
            self.by_target.insert(target.clone(), seen_now);
        }
        to_free
    }

    /// Forgets targets that the records no longer name.
    pub fn retain(&mut self, named: impl Fn(&TargetName) -> bool) {
        self.by_target.retain(|target, _| named(target));
    }
}

/// Whether a holding is past its deadline by more than the target needs to free it itself.
pub fn is_overdue(holding: &Holding) -> bool {
    holding.overdue_ms > OVERDUE_GRACE_MS
}

fn wait_ms(fault: Fault, place: usize) -> u64 {
    let place_ms = place.min(LAST_PLACE) as u64 * PLACE_STEP_MS;
    match fault {
        Fault::Overdue => place_ms,
        Fault::OwnerDead => DEAD_GRACE_MS + place_ms,
        Fault::Over => OWN_GRACE_MS,
    }
}
