//! Answers of targets to calls that aren't attempts.

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

/// Interval between reads of a target's load report, in ms.
const REPORT_INTERVAL_MS: u64 = 250;

impl Core {
    pub(super) fn on_target(&mut self, now: MonoMs, target: &TargetName, event: TargetEvent) {
        match event {
            TargetEvent::Report(report) => self.on_report(now, target, report),
            TargetEvent::Unreachable => self.on_unreachable(now, target),
            TargetEvent::State(state) => self.on_state(now, target, state),
            TargetEvent::Ordered(verdict) => self.on_ordered(now, target, verdict),
            TargetEvent::Reserved(reservation) => self.on_reserved(now, target, reservation),
            TargetEvent::ReserveRefused(reservation) => {
                self.on_not_reserved(now, target, reservation, "refused a reservation");
            }
            TargetEvent::ReserveLost(reservation) => {
                self.on_not_reserved(now, target, reservation, "didn't answer a reservation");
            }
            TargetEvent::Cache(_) => {}
        }
    }

    fn on_report(&mut self, now: MonoMs, target: &TargetName, report: LoadReport) {
        self.free_leaked_holdings(now, target, &report);
        let incarnation = report.incarnation;
        if self.targets.apply_report(now, target, report) {
            self.announce_leaving(now, target, incarnation, "its own report");
        }
    }

    fn on_unreachable(&mut self, now: MonoMs, target: &TargetName) {
        self.order_planner.on_unreachable(target);
        if self.targets.record_missed_report(target) {
            let text = format!("{target} gets no new requests: it doesn't answer reads");
            self.record_decision(now, Subsystem::Fleet, None, text);
        }
    }

    /// Sends all peers the news that a run of a target is leaving. `source` names where this daemon learned
    /// it.
    pub(super) fn announce_leaving(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        incarnation: Incarnation,
        source: &str,
    ) {
        let text = format!("{target} is leaving according to {source}");
        self.record_decision(now, Subsystem::Fleet, None, text);
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
        for (target, address) in self.targets.due_for_report(now, REPORT_INTERVAL_MS) {
            self.emit(Action::Call {
                target,
                address,
                call: TargetCall::Report,
            });
        }
    }
}
