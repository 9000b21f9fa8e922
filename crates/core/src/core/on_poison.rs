//! Requests that are suspected of crashing targets: they wait, run alone, or are refused.

use {
    super::Core,
    crate::{
        action::Action,
        decisions::Subsystem,
        fleet::{TargetState, Targets},
        requests::{Request, RunStatus, Suspicion},
        routing::serves,
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::Reason,
        ids::{AttemptId, Incarnation, RequestId, TargetName},
        peer::{News, PeerFrame, PoisonNews, TargetHealth},
        record::TargetRecord,
    },
};

impl Core {
    /// Records that an attempt's connection broke or fell silent. If its target turns out to have crashed, all
    /// requests that are in flight there become suspects.
    pub(super) fn record_broken_attempt(&mut self, now: MonoMs, attempt: AttemptId) {
        let request = self.requests.of_attempt(attempt);
        let entry = request.and_then(|request| self.requests.get(request));
        let Some(in_flight) = entry.and_then(Request::in_flight_attempt).cloned() else {
            return;
        };
        let fingerprints: Vec<u64> = self
            .requests
            .at_target(&in_flight.target)
            .filter(|entry| {
                entry.in_flight_attempt().map(|f| f.incarnation) == Some(in_flight.incarnation)
            })
            .map(|entry| entry.submission.fingerprint)
            .collect();
        let has_other_work = self.has_other_work(&in_flight.target, fingerprints.len());
        self.poison.record_broken_attempt(
            now,
            &in_flight.target,
            in_flight.incarnation,
            fingerprints.into_iter(),
            has_other_work,
        );
    }

    /// Returns whether the target's last report shows more requests than the `own` ones of this daemon.
    fn has_other_work(&self, target: &TargetName, own: usize) -> bool {
        let report = self.targets.get(target).and_then(|s| s.report.as_ref());
        report.is_some_and(|report| (report.running + report.waiting) as usize > own)
    }

    /// Clears the suspicion of a request that completed, here and at peers.
    pub(super) fn clear_suspicion(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        if let Some(news) = self.poison.clear_completed(entry.submission.fingerprint) {
            self.send_poison_news(vec![news]);
        }
    }

    /// Determines which targets crashed after attempts broke, and sends the suspects to peers.
    pub(super) fn resolve_crashes(&mut self, now: MonoMs) {
        let targets = &self.targets;
        let news = self
            .poison
            .resolve_crashes(now, |target, run| run_status(targets, target, run));
        for suspect in &news {
            let crashes = suspect.deaths.len();
            let text = format!(
                "fingerprint {:x} was in flight at {crashes} targets that crashed",
                suspect.fingerprint
            );
            self.record_decision(now, Subsystem::Requests, None, text);
        }
        self.send_poison_news(news);
    }

    /// Sends poison news to linked peers immediately, since the caller may resend the request to one of them.
    fn send_poison_news(&mut self, poison: Vec<PoisonNews>) {
        if poison.is_empty() {
            return;
        }
        let news = News {
            poison,
            ..News::default()
        };
        let peers: Vec<Incarnation> = self.links.peers().collect();
        for to in peers {
            let frame = PeerFrame {
                news: news.clone(),
                ..PeerFrame::default()
            };
            let frame = Box::new(frame);
            self.emit(Action::Send { to, frame });
        }
    }

    /// Returns whether a request may be routed now. If not, holds it, or ends it as poison.
    pub(super) fn may_route(&mut self, now: MonoMs, request: RequestId) -> bool {
        if self.refresh.is_some() {
            self.hold(now, request, "the view is stale");
            return false;
        }
        match self.suspicion(now, request) {
            Suspicion::Suspected if self.is_duplicate_in_flight(request) => {
                self.hold(now, request, "suspected, and the same request is in flight");
                false
            }
            Suspicion::Clear | Suspicion::Suspected => true,
            Suspicion::Unconfirmed => {
                self.hold(now, request, "targets may have crashed because of it");
                false
            }
            Suspicion::Poison { remaining_ms } => {
                let kind = self.current_outcome_kind(request);
                let message = "targets crashed because of this request: change it or retry later";
                self.finish(
                    now,
                    request,
                    kind,
                    Reason::Poison,
                    message,
                    Some(remaining_ms),
                );
                false
            }
        }
    }

    /// Returns whether a request is a suspect and must be the only one at its target.
    pub(super) fn must_run_alone(&self, now: MonoMs, request: RequestId) -> bool {
        self.suspicion(now, request) != Suspicion::Clear
    }

    /// Returns the targets that a request avoids if another exists: those where it was tried and, if that
    /// leaves others, those where it would run together with a suspect or, as a suspect itself, with any
    /// request.
    pub(super) fn avoided_targets(&self, now: MonoMs, request: RequestId) -> Vec<TargetName> {
        let Some(entry) = self.requests.get(request) else {
            return Vec::new();
        };
        let tried = entry.tried.clone();
        if self.poison.is_empty() {
            return tried;
        }
        let alone = self.must_run_alone(now, request);
        let (shared, free): (Vec<_>, Vec<_>) = self
            .targets_for(entry)
            .filter(|target| !tried.contains(target))
            .partition(|target| (alone && self.is_busy(target)) || self.has_suspect(now, target));
        if free.is_empty() {
            return tried;
        }
        tried
            .into_iter()
            .chain(shared.into_iter().cloned())
            .collect()
    }

    /// Returns the targets that serve a request and accept work.
    pub(super) fn targets_for<'a>(
        &'a self,
        entry: &'a Request,
    ) -> impl Iterator<Item = &'a TargetName> {
        let serving = |record: &&TargetRecord| {
            let mut shares = entry.route.providers.iter();
            let share = shares.find(|share| share.provider == record.provider);
            share.is_some_and(|share| serves(record, share, &entry.submission.work))
        };
        self.records
            .in_force()
            .targets()
            .filter(serving)
            .map(|record| &record.target)
            .filter(|target| {
                self.targets
                    .get(target)
                    .is_some_and(TargetState::accepts_work)
            })
    }

    fn is_busy(&self, target: &TargetName) -> bool {
        let own = self.requests.at_target(target).next().is_some();
        own || self.has_other_work(target, 0)
    }

    /// Returns whether a suspect would share `target` with another suspect, and if so holds it. Guards
    /// against a second crash that doesn't show which of the two caused it.
    pub(super) fn must_wait_for_suspect(
        &mut self,
        now: MonoMs,
        request: RequestId,
        target: &TargetName,
    ) -> bool {
        let shares = self.must_run_alone(now, request) && self.has_suspect(now, target);
        if shares {
            self.hold(
                now,
                request,
                "suspected, and another suspect runs at its target",
            );
        }
        shares
    }

    /// Routes held requests again, unless the view is stale.
    pub(super) fn route_held(&mut self, now: MonoMs) {
        if self.refresh.is_some() {
            return;
        }
        for request in self.requests.held() {
            self.route(now, request);
        }
    }

    fn hold(&mut self, now: MonoMs, request: RequestId, why: &str) {
        if self.requests.hold(request) {
            let text = format!("held: {why}");
            self.record_decision(now, Subsystem::Requests, Some(request), text);
        }
    }

    fn suspicion(&self, now: MonoMs, request: RequestId) -> Suspicion {
        let limit = self.records.in_force().policy().poison_targets;
        self.requests
            .get(request)
            .map_or(Suspicion::Clear, |entry| {
                self.poison
                    .suspicion(now, entry.submission.fingerprint, limit)
            })
    }

    fn has_suspect(&self, now: MonoMs, target: &TargetName) -> bool {
        let limit = self.records.in_force().policy().poison_targets;
        self.requests.at_target(target).any(|entry| {
            let fingerprint = entry.submission.fingerprint;
            self.poison.suspicion(now, fingerprint, limit) != Suspicion::Clear
        })
    }

    fn is_duplicate_in_flight(&self, request: RequestId) -> bool {
        let Some(entry) = self.requests.get(request) else {
            return false;
        };
        let fingerprint = entry.submission.fingerprint;
        self.requests
            .in_flight()
            .any(|other| other.submission.fingerprint == fingerprint)
    }
}

/// Returns the status of a run of a target, as far as this daemon knows.
fn run_status(targets: &Targets, target: &TargetName, run: Incarnation) -> RunStatus {
    match targets.get(target) {
        None => RunStatus::Unknown,
        Some(state) if state.incarnation != Some(run) => RunStatus::Dead,
        Some(state) if state.health == TargetHealth::Gone => RunStatus::Dead,
        Some(state) => RunStatus::Alive(state.reported_at),
    }
}
