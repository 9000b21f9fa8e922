//! Memory at targets that nobody will give back.

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
    /// Frees what a report shows to be held by nobody.
    pub(super) fn watch_holdings(&mut self, now: MonoMs, target: &TargetName, load: &LoadReport) {
        let faults: Vec<(&Holding, LeakCause)> = load
            .holdings
            .iter()
            .filter_map(|holding| Some((holding, self.fault_of(holding)?)))
            .collect();
        let place = if faults.is_empty() {
            0
        } else {
            rank_of(
                self.options.incarnation,
                &self.alive_peers(),
                target.as_str(),
            )
        };
        for holding in self.holdings.on_report(now, target, &faults, place) {
            let text = format!("{target} is to free {}", holding.attempt);
            self.decide(now, Subsystem::Requests, None, text);
            self.call(target.clone(), freeing(&holding));
        }
    }

    fn fault_of(&self, holding: &Holding) -> Option<LeakCause> {
        let known = if holding.reservation {
            self.groups.of_reservation(holding.attempt).is_some()
        } else {
            self.requests.of_attempt(holding.attempt).is_some()
        };
        if holding.owner == self.options.incarnation && !known {
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

fn freeing(holding: &Holding) -> TargetCall {
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
