use {
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{AttemptId, TargetName},
        target::Holding,
    },
};

/// How far past its deadline a holding may be, in ms. Within this time the target frees it itself.
const OVERDUE_GRACE_MS: u64 = 2_000;
/// How long a holding of a dead daemon is left in place, in ms: longer than a daemon is falsely
/// considered dead.
const DEAD_GRACE_MS: u64 = 5_000;
/// How long a holding of this daemon that it doesn't know is left in place, in ms, since reports lag.
const OWN_GRACE_MS: u64 = 1_000;
/// Extra wait of each daemon compared with the one ranked before it, in ms.
const RANK_STEP_MS: u64 = 1_000;
/// Rank from which the wait no longer grows.
const MAX_DELAY_RANK: usize = 10;
/// Time between two attempts to free the same holding, in ms.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// Reason for which a holding at a target counts as leaked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeakCause {
    /// Past its deadline.
    Overdue,
    /// Owned by a dead daemon.
    OwnerDead,
    /// Owned by this daemon, but its request has ended: the cancel was lost.
    RequestEnded,
}

/// Detects leaked memory at targets from their load reports.
///
/// Guards against an engine losing memory for good because the owner died or its cancel was lost.
/// Every daemon sees every report and frees leaked holdings. To save messages, the daemon ranked first
/// for the target acts first; the others follow one after the other, so that correctness doesn't
/// depend on the ranking. Freeing is idempotent.
#[derive(Debug, Default)]
pub struct LeakDetector {
    by_target: BTreeMap<TargetName, HashMap<AttemptId, Leak>>,
}

#[derive(Debug, Clone, Copy)]
struct Leak {
    since: MonoMs,
    last_freed_at: Option<MonoMs>,
}

impl LeakDetector {
    /// Records the leaked holdings of one report and returns those to free now. `rank` is this daemon's
    /// rank for the target, from 0.
    pub fn on_report(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        leaked: &[(&Holding, LeakCause)],
        rank: usize,
    ) -> Vec<Holding> {
        let former = self.by_target.remove(target).unwrap_or_default();
        let mut leaks = HashMap::new();
        let mut to_free = Vec::new();
        for (holding, cause) in leaked {
            let mut leak = former.get(&holding.attempt).copied().unwrap_or(Leak {
                since: now,
                last_freed_at: None,
            });
            let due = now.since(leak.since) >= wait_ms(*cause, rank);
            if due
                && leak
                    .last_freed_at
                    .is_none_or(|at| now.since(at) >= RETRY_INTERVAL_MS)
            {
                leak.last_freed_at = Some(now);
                to_free.push((*holding).clone());
            }
            leaks.insert(holding.attempt, leak);
        }
        if !leaks.is_empty() {
            self.by_target.insert(target.clone(), leaks);
        }
        to_free
    }

    /// Removes targets that the records no longer name.
    pub fn retain(&mut self, named: impl Fn(&TargetName) -> bool) {
        self.by_target.retain(|target, _| named(target));
    }
}

/// Returns whether a holding is past its deadline by more than the target needs to free it itself.
pub fn is_overdue(holding: &Holding) -> bool {
    holding.overdue_ms > OVERDUE_GRACE_MS
}

fn wait_ms(cause: LeakCause, rank: usize) -> u64 {
    let rank_ms = rank.min(MAX_DELAY_RANK) as u64 * RANK_STEP_MS;
    match cause {
        LeakCause::Overdue => rank_ms,
        LeakCause::OwnerDead => DEAD_GRACE_MS + rank_ms,
        LeakCause::RequestEnded => OWN_GRACE_MS,
    }
}
