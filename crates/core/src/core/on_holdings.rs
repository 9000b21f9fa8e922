//! Memory at targets that nobody will give back.

use {
    super::Core,
    crate::{
        action::TargetCall,
        decisions::Part,
        orders::place_of,
        requests::{Fault, is_overdue},
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
        let faults: Vec<(&Holding, Fault)> = load
            .holdings
            .iter()
            .filter_map(|holding| Some((holding, self.fault_of(holding)?)))
            .collect();
        let place = if faults.is_empty() {
            0
        } else {
            place_of(
                self.options.incarnation,
                &self.alive_peers(),
                target.as_str(),
            )
        };
        for holding in self.holdings.report(now, target, &faults, place) {
            let text = format!("{target} is to free {}", holding.attempt);
            self.decide(now, Part::Requests, None, text);
            self.call(target.clone(), freeing(&holding));
        }
    }

    fn fault_of(&self, holding: &Holding) -> Option<Fault> {
        let known = if holding.reservation {
            self.groups.of_reservation(holding.attempt).is_some()
        } else {
            self.requests.of_attempt(holding.attempt).is_some()
        };
        if holding.owner == self.options.incarnation && !known {
            return Some(Fault::Over);
        }
        if is_overdue(holding) {
            return Some(Fault::Overdue);
        }
        let owner = self.members.get(holding.owner);
        owner
            .is_some_and(|member| member.news.state == MemberState::Dead)
            .then_some(Fault::OwnerDead)
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
