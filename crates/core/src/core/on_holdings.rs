//! Leaked memory at targets, which its owner will never release.

use {
    super::Core,
    crate::{
        action::TargetCall,
        decisions::Subsystem,
        orders::rank_of,
        requests::{LeakCause, is_overdue},
        time::MonoMs,
    },
    whinlatch_wire::{
        ids::TargetName,
        peer::MemberState,
        target::{CancelRequest, Holding, LoadReport, ReleaseRequest},
    },
};

impl Core {
    /// Frees the holdings in a load report that are leaked, if they are due to be freed by this daemon.
    pub(super) fn free_leaked_holdings(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        load: &LoadReport,
    ) {
        let leaked: Vec<(&Holding, LeakCause)> = load
            .holdings
            .iter()
            .filter_map(|holding| Some((holding, self.leak_cause_of(holding)?)))
            .collect();
        let rank = if leaked.is_empty() {
            0
        } else {
            rank_of(
                self.options.incarnation,
                &self.alive_peers(),
                target.as_str(),
            )
        };
        for holding in self.leak_detector.on_report(now, target, &leaked, rank) {
            let text = format!("{target}: freeing leaked memory of {}", holding.attempt);
            self.record_decision(now, Subsystem::Requests, None, text);
            self.call(target.clone(), freeing_call(&holding));
        }
    }

    fn leak_cause_of(&self, holding: &Holding) -> Option<LeakCause> {
        let is_known = if holding.reservation {
            self.groups.of_reservation(holding.attempt).is_some()
        } else {
            self.requests.of_attempt(holding.attempt).is_some()
        };
        if holding.owner == self.options.incarnation && !is_known {
            return Some(LeakCause::RequestEnded);
        }
        if is_overdue(holding) {
            return Some(LeakCause::Overdue);
        }
        let owner = self.members.get(holding.owner);
        owner
            .is_some_and(|member| member.news.state == MemberState::Dead)
            .then_some(LeakCause::OwnerDead)
    }
}

fn freeing_call(holding: &Holding) -> TargetCall {
    if holding.reservation {
        TargetCall::Release(ReleaseRequest {
            reservation: holding.attempt,
        })
    } else {
        TargetCall::Cancel(CancelRequest {
            attempt: holding.attempt,
        })
    }
}
