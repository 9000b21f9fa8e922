//! The view of plain targets that the instances share: reports of calls, and the view that the first responsive hub
//! sends.

use {
    super::{Recipients, Serving},
    crate::{
        calls::{CallOutcome, CallPicture, CallReport},
        fleet::Frame,
        mechanism::Mechanism,
        names::{ServiceName, TargetId},
        targets::{FleetCallLoad, TargetEntry},
    },
    std::{collections::BTreeMap, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Number of ready targets from which the instances share what they know of a service's targets: with one, there is
/// nothing to choose.
const MIN_SHARED_TARGETS: usize = 2;
/// Share of a service's slots above which it is busy.
const BUSY_SHARE: f64 = 0.7;
/// Time for which the last received rows of the view hold, in ms. Each row is sent at least every two seconds.
const CALL_PICTURE_TTL_MS: u64 = 3_000;

impl Serving {
    /// Returns the 95th percentile of the answer times of a service's targets, in ms; `None` if too few answers are
    /// known.
    pub fn late_answer_ms(&self, now: MonoMs, service: &str) -> Option<f64> {
        let ready: Vec<&TargetEntry> = self.targets.ready(service).collect();
        if self.reads_call_picture(now) {
            let ids = ready.iter().map(|entry| &entry.id);
            return self.calls.fleet_late_ms(ids);
        }
        let ids = ready.iter().map(|entry| &entry.id);
        self.fleet_calls.late_ms(now, ids)
    }

    /// Returns whether over seven tenths of the slots of a service's ready targets are in use, as far as it is known.
    pub fn is_service_busy(&self, service: &str) -> bool {
        let (mut in_flight, mut slots) = (0, 0);
        for entry in self.targets.ready(service) {
            in_flight += u64::from(self.calls.in_flight(&entry.id));
            slots += u64::from(entry.slots);
        }
        in_flight as f64 > BUSY_SHARE * slots as f64
    }

    /// Records that a call was given up without an answer after `took_ms`.
    ///
    /// Calls that were given up sooner than one in twenty is answered say nothing of the target: their caller
    /// disconnected, or another target's answer came first. They aren't counted.
    pub fn record_call_unanswered(&mut self, now: MonoMs, target: &TargetId, took_ms: f64) {
        let service = self
            .targets
            .entry(target)
            .map(|entry| entry.service.clone());
        let late_ms = service.and_then(|service| self.late_answer_ms(now, &service));
        if late_ms.is_some_and(|late_ms| took_ms < late_ms) {
            self.calls.record_withdrawn(target);
            return;
        }
        self.calls.record_unanswered(now, target);
        self.record_shared_outcome(now, target, CallOutcome::Unanswered);
    }

    /// Adds the result of a call of this instance to what it knows of the fleet's calls.
    pub(super) fn record_shared_outcome(
        &mut self,
        now: MonoMs,
        target: &TargetId,
        outcome: CallOutcome,
    ) {
        if self.is_shared_target(target) {
            self.fleet_calls.record(now, target, outcome);
        }
    }

    /// Returns the report of this instance's calls since the last one, to be sent with each heartbeat, and its
    /// receivers: the hubs of a large fleet, all instances of a small one. `None` if there were no calls.
    pub fn call_report(&mut self) -> Option<(Recipients, Frame)> {
        if !self.mechanisms.is_enabled(Mechanism::SharedCalls) {
            return None;
        }
        let shared = self.shared_services();
        let targets = &self.targets;
        let is_shared = |id: &str| {
            let entry = targets.entry(id);
            entry.is_some_and(|entry| shared.contains_key(&entry.service))
        };
        let calls = self.calls.take_reports(is_shared);
        if calls.is_empty() {
            return None;
        }
        let recipients = if self.members.is_large() {
            let mut hubs = self.members.ranks().hubs().to_vec();
            hubs.retain(|hub| *hub != self.own.peer_address);
            Recipients::Peers(hubs)
        } else {
            Recipients::All
        };
        let frame = Frame {
            calls,
            ..Frame::default()
        };
        Some((recipients, frame))
    }

    /// Applies reports of another instance's calls. Those of unknown targets are dropped.
    pub(super) fn apply_call_reports(&mut self, now: MonoMs, from: u64, reports: &[CallReport]) {
        if !self.mechanisms.is_enabled(Mechanism::SharedCalls) || from == self.own.run {
            return;
        }
        for report in reports {
            if self.is_shared_target(&report.target) {
                self.fleet_calls.apply_report(now, from, report);
            }
        }
    }

    /// Applies rows of the view that the instance at `from` sends, if that is the first responsive hub. Those of unknown
    /// targets are dropped.
    ///
    /// Guards against two views in turns, while another hub doesn't hear the first one and sends its own.
    pub(super) fn apply_call_picture(
        &mut self,
        now: MonoMs,
        from: Option<SocketAddr>,
        rows: Vec<CallPicture>,
    ) {
        let is_shared = self.mechanisms.is_enabled(Mechanism::SharedCalls);
        if !is_shared || rows.is_empty() || self.aggregates_calls(now) {
            return;
        }
        let first_hub = self.members.first_hub(now, self.own.peer_address);
        if from.is_none() || from != first_hub {
            return;
        }
        if !self.reads_call_picture(now) {
            self.calls.clear_fleet_loads();
        }
        for row in rows {
            if !self.is_shared_target(&row.target) {
                continue;
            }
            let own_in_flight = self.calls.reported_in_flight(&row.target);
            let load = FleetCallLoad {
                in_flight_elsewhere: row.in_flight.saturating_sub(own_in_flight),
                answer_ms: row.answer_ms.map(|ms| f64::from(ms.max(1))),
                failure_share: f64::from(row.failure_share).clamp(0.0, 1.0),
                late_ms: row.late_ms.map(f64::from),
                as_of: now,
            };
            self.calls.set_fleet_load(&row.target, load);
            self.call_picture_at = Some(now);
        }
    }

    /// Returns the rows of the view to send with a heartbeat; none unless this instance is the first responsive hub.
    pub(super) fn call_picture_to_send(&mut self, now: MonoMs) -> Vec<CallPicture> {
        let is_shared = self.mechanisms.is_enabled(Mechanism::SharedCalls);
        let own = self.own.peer_address;
        if !is_shared || self.members.first_hub(now, own) != Some(own) {
            return Vec::new();
        }
        let whole_ms = |time_ms: f64| time_ms.round() as u32;
        let mut current = Vec::new();
        for ready in self.shared_services().values() {
            let late_ms = self.fleet_calls.late_ms(now, ready.iter());
            let known = ready.iter().filter_map(|id| {
                let load = self.fleet_calls.load(now, id)?;
                Some(CallPicture {
                    target: id.clone(),
                    in_flight: self.calls.in_flight(id),
                    answer_ms: load.answer_ms.map(whole_ms),
                    late_ms: late_ms.map(whole_ms),
                    failure_share: (load.failure_share * 100.0).round() as f32 / 100.0,
                })
            });
            current.extend(known);
        }
        self.fleet_calls.rows_to_send(now, current)
    }

    /// Uses this instance's own view of the reports unless it reads that of a hub.
    pub(super) fn update_call_view(&mut self, now: MonoMs) {
        if self.reads_call_picture(now) {
            return;
        }
        self.calls.clear_fleet_loads();
        let has_reports =
            self.mechanisms.is_enabled(Mechanism::SharedCalls) && self.aggregates_calls(now);
        if !has_reports {
            return;
        }
        for id in self.shared_services().values().flatten() {
            if let Some(load) = self.fleet_calls.load(now, id) {
                self.calls.set_fleet_load(id, load);
            }
        }
    }

    /// Returns the time since this instance received a row of the view, in ms: 0 if it has the reports itself, `None`
    /// if it never received one.
    pub fn call_picture_age_ms(&self, now: MonoMs) -> Option<u64> {
        if self.aggregates_calls(now) {
            return Some(0);
        }
        self.call_picture_at.map(|at| now.since(at))
    }

    /// Returns whether this instance uses its own aggregate of the reports, as the first responsive hub and all
    /// instances of a small fleet do.
    fn aggregates_calls(&self, now: MonoMs) -> bool {
        let own = self.own.peer_address;
        !self.members.is_large() || self.members.first_hub(now, own) == Some(own)
    }

    /// Returns whether this instance uses the view that a hub sends.
    fn reads_call_picture(&self, now: MonoMs) -> bool {
        !self.aggregates_calls(now)
            && self
                .call_picture_at
                .is_some_and(|at| now.since(at) < CALL_PICTURE_TTL_MS)
    }

    /// Returns whether a target is published and its service has no engines.
    fn is_shared_target(&self, target: &str) -> bool {
        let entry = self.targets.entry(target);
        entry.is_some_and(|entry| self.spec_of_service(&entry.service).is_none())
    }

    /// Returns the services without engines that have at least two ready targets, and these targets.
    fn shared_services(&self) -> BTreeMap<ServiceName, Vec<TargetId>> {
        let mut services: BTreeMap<ServiceName, Vec<TargetId>> = BTreeMap::new();
        for entry in self.targets.all_ready() {
            if self.spec_of_service(&entry.service).is_none() {
                let ready = services.entry(entry.service.clone()).or_default();
                ready.push(entry.id.clone());
            }
        }
        services.retain(|_, ready| ready.len() >= MIN_SHARED_TARGETS);
        services
    }
}
