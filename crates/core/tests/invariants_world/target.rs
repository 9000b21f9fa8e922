//! A simulated target. It frees the memory of an attempt only when the attempt ends or is cancelled.

use {
    crate::requests_fixture::report,
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_core::{AttemptEvent, Dispatch},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{Holding, LoadReport, Refusal, RefusalReason},
    },
};

/// How a target responds to an attempt.
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
    /// Attempts that ended here, including refused ones.
    ended: BTreeSet<AttemptId>,
}

impl Target {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            running: BTreeMap::new(),
            ended: BTreeSet::new(),
        }
    }

    /// Handles an attempt. Returns the reply, if any, and whether the attempt ran; `None` for an attempt that
    /// it has received before.
    pub fn receive(
        &mut self,
        owner: Incarnation,
        dispatch: &Dispatch,
        answer: Answer,
    ) -> Option<(Option<AttemptEvent>, bool)> {
        let attempt = dispatch.attempt;
        if self.running.contains_key(&attempt) || self.ended.contains(&attempt) {
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
                self.ended.insert(attempt);
                Some((Some(refusal(attempt, RefusalReason::Full)), false))
            }
            Answer::Complete => {
                self.ended.insert(attempt);
                Some((Some(AttemptEvent::Completed), true))
            }
            Answer::Fail => {
                self.ended.insert(attempt);
                Some((Some(AttemptEvent::Failed { status: 500 }), true))
            }
            Answer::Hang => {
                let deadline = dispatch.deadline.0;
                self.running.insert(attempt, Running { owner, deadline });
                Some((None, true))
            }
        }
    }

    pub fn cancel(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.ended.insert(attempt);
    }

    /// Starts a new run, and returns the attempts that were running, with their owners.
    pub fn restart(&mut self, run: Incarnation) -> Vec<(Incarnation, AttemptId)> {
        self.incarnation = run;
        self.ended.clear();
        let running = std::mem::take(&mut self.running);
        let lost = running.into_iter();
        lost.map(|(attempt, running)| (running.owner, attempt))
            .collect()
    }

    pub fn running_count(&self) -> usize {
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
