//! A target that runs what arrives and frees nothing by itself.

use {
    crate::requests_fixture::report,
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_core::{AttemptEvent, Dispatch},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{Holding, LoadReport, Refusal, RefusalReason},
    },
};

/// What a target makes of an attempt that it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Complete,
    Refuse,
    Fail,
    Hang,
}

#[derive(Debug)]
struct Running {
    owner: Incarnation,
    deadline: u64,
}

#[derive(Debug)]
pub struct Target {
    incarnation: Incarnation,
    running: BTreeMap<AttemptId, Running>,
    /// Attempts that are over here, refused ones among them.
    over: BTreeSet<AttemptId>,
}

impl Target {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            running: BTreeMap::new(),
            over: BTreeSet::new(),
        }
    }

    /// Takes in an attempt. Returns the reply, if any, and whether it ran; nothing for one that it
    /// has seen.
    pub fn take(
        &mut self,
        owner: Incarnation,
        dispatch: &Dispatch,
        answer: Answer,
    ) -> Option<(Option<AttemptEvent>, bool)> {
        let attempt = dispatch.attempt;
        if self.running.contains_key(&attempt) || self.over.contains(&attempt) {
            return None;
        }
        if dispatch.expect_incarnation != self.incarnation {
            return Some((
                Some(refusal(attempt, RefusalReason::OtherIncarnation)),
                false,
            ));
        }
        match answer {
            Answer::Refuse => {
                self.over.insert(attempt);
                Some((Some(refusal(attempt, RefusalReason::Full)), false))
            }
            Answer::Complete => {
                self.over.insert(attempt);
                Some((Some(AttemptEvent::Completed), true))
            }
            Answer::Fail => {
                self.over.insert(attempt);
                Some((Some(AttemptEvent::Failed { status: 500 }), true))
            }
            Answer::Hang => {
                let deadline = dispatch.deadline.0;
                self.running.insert(attempt, Running { owner, deadline });
                Some((None, true))
            }
        }
    }

    pub fn free(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.over.insert(attempt);
    }

    /// A new run begins; returns what was running.
    pub fn die(&mut self, run: Incarnation) -> Vec<(Incarnation, AttemptId)> {
        self.incarnation = run;
        self.over.clear();
        let running = std::mem::take(&mut self.running);
        let lost = running.into_iter();
        lost.map(|(attempt, running)| (running.owner, attempt))
            .collect()
    }

    pub fn held(&self) -> usize {
        self.running.len()
    }

    pub fn report(&self, now: u64) -> LoadReport {
        let holdings = self.running.iter().map(|(attempt, running)| Holding {
            attempt: *attempt,
            owner: running.owner,
            tokens: 1_000,
            overdue_ms: now.saturating_sub(running.deadline),
            reservation: false,
        });
        LoadReport {
            holdings: holdings.collect(),
            running: self.running.len() as u32,
            ..report(self.incarnation)
        }
    }
}

fn refusal(attempt: AttemptId, reason: RefusalReason) -> AttemptEvent {
    AttemptEvent::Refused(Refusal {
        attempt,
        reason,
        retry_after_ms: None,
    })
}
