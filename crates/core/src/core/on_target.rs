//! What targets answer to calls that aren't attempts.

use {
    super::Core,
    crate::{
        action::{Action, TargetCall},
        decisions::Subsystem,
        event::TargetEvent,
        time::MonoMs,
    },
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::{News, TargetHealth, TargetNews},
        target::LoadReport,
    },
};

/// Time between load reports of a target, in ms.
const REPORT_EVERY_MS: u64 = 250;

impl Core {
    pub(super) fn on_target(&mut self, now: MonoMs, target: &TargetName, event: TargetEvent) {
        match event {
            TargetEvent::Report(report) => self.on_report(now, target, report),
            TargetEvent::Unreachable => self.on_unreachable(now, target),
            TargetEvent::State(state) => self.on_state(now, target, state),
            TargetEvent::Ordered(verdict) => self.on_ordered(now, target, verdict),
            TargetEvent::Reserved(reservation) => self.on_reserved(now, target, reservation),
            TargetEvent::ReserveRefused(reservation) => {
                self.on_not_reserved(now, target, reservation, "refuses to set memory aside");
            }
            TargetEvent::ReserveLost(reservation) => {
                self.on_not_reserved(now, target, reservation, "didn't answer a reservation");
            }
            TargetEvent::Cache(_) => {}
        }
    }

    fn on_report(&mut self, now: MonoMs, target: &TargetName, report: LoadReport) {
        self.watch_holdings(now, target, &report);
        let incarnation = report.incarnation;
        if self.targets.apply_report(now, target, report) {
            self.leaves(now, target, incarnation, "its own report");
        }
    }

    fn on_unreachable(&mut self, now: MonoMs, target: &TargetName) {
        self.orderer.on_unreachable(target);
        if self.targets.record_missed_report(target) {
            let text = format!("{target} gets nothing new: it answers no reads");
            self.decide(now, Subsystem::Fleet, None, text);
        }
    }

    /// Tells everyone that a run of a target is about to leave.
    pub(super) fn leaves(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        incarnation: Incarnation,
        says: &str,
    ) {
        let text = format!("{target} is leaving, says {says}");
        self.decide(now, Subsystem::Fleet, None, text);
        let news = TargetNews {
            target: target.clone(),
            incarnation,
            health: TargetHealth::Leaving,
        };
        self.links.broadcast(
            &News {
                targets: vec![news],
                ..News::default()
            },
            None,
        );
    }

    pub(super) fn read_reports(&mut self, now: MonoMs) {
        for (target, address) in self.targets.due_for_report(now, REPORT_EVERY_MS) {
            self.act(Action::Call {
                target,
                address,
                call: TargetCall::Report,
            });
        }
    }
}
