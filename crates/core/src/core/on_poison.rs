//! Requests that may crash targets: they wait, run alone, or are refused.

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
    /// Notes that an attempt broke off: its target may be dead, and all in flight there suspects.
    pub(super) fn broke_off(&mut self, now: MonoMs, attempt: AttemptId) {
        let request = self.requests.of_attempt(attempt);
        let entry = request.and_then(|request| self.requests.get(request));
        let Some(flight) = entry.and_then(Request::in_flight_attempt).cloned() else {
            return;
        };
        let in_flight: Vec<u64> = self
            .requests
            .at_target(&flight.target)
            .filter(|entry| {
                entry.in_flight_attempt().map(|f| f.incarnation) == Some(flight.incarnation)
            })
            .map(|entry| entry.submission.fingerprint)
            .collect();
        let others = self.others_at(&flight.target, in_flight.len());
        let fingerprints = in_flight.into_iter();
        self.poison.record_broken_attempt(
            now,
            &flight.target,
            flight.incarnation,
            fingerprints,
            others,
        );
    }

    /// Whether the target's last report shows more work than this daemon's own.
    fn others_at(&self, target: &TargetName, own: usize) -> bool {
        let report = self.targets.get(target).and_then(|s| s.report.as_ref());
        report.is_some_and(|report| (report.running + report.waiting) as usize > own)
    }

    /// Notes that a request completed and so is no poison.
    pub(super) fn absolve(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        if let Some(news) = self.poison.clear_completed(entry.submission.fingerprint) {
            self.tell_poison(vec![news]);
        }
    }

    /// Decides about targets where attempts broke off, and tells peers.
    pub(super) fn settle_poison(&mut self, now: MonoMs) {
        let targets = &self.targets;
        let news = self
            .poison
            .resolve_crashes(now, |target, run| fate_of(targets, target, run));
        for told in &news {
            let deaths = told.deaths.len();
            let text = format!("{:x} was at {deaths} targets that died", told.fingerprint);
            self.decide(now, Subsystem::Requests, None, text);
        }
        self.tell_poison(news);
    }

    /// Tells linked peers at once: the caller may send it to one of them in the next moment.
    fn tell_poison(&mut self, poison: Vec<PoisonNews>) {
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
            self.act(Action::Send { to, frame });
        }
    }

    /// Whether a request may be routed now. If not, it is held, or ended as poison.
    pub(super) fn may_route(&mut self, now: MonoMs, request: RequestId) -> bool {
        if self.refresh.is_some() {
            self.hold(now, request, "the view is stale");
            return false;
        }
        match self.standing(now, request) {
            Suspicion::Suspected if self.twin_in_flight(request) => {
                self.hold(now, request, "a suspect, and the same runs elsewhere");
                false
            }
            Suspicion::Clear | Suspicion::Suspected => true,
            Suspicion::Unconfirmed => {
                self.hold(now, request, "targets may have died of it");
                false
            }
            Suspicion::Poison { remaining_ms } => {
                let kind = self.kind_now(request);
                let message = "targets died of this request: change it or come back later";
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

    /// Whether a request is a suspect and must be the only one at its target.
    pub(super) fn runs_alone(&self, now: MonoMs, request: RequestId) -> bool {
        self.standing(now, request) != Suspicion::Clear
    }

    /// Targets that the request is to avoid if another exists: those it was tried at; and, where
    /// that leaves another, those where it would share with a suspect or, as a suspect, with
    /// anything.
    pub(super) fn to_avoid(&self, now: MonoMs, request: RequestId) -> Vec<TargetName> {
        let Some(entry) = self.requests.get(request) else {
            return Vec::new();
        };
        let tried = entry.tried.clone();
        if self.poison.is_empty() {
            return tried;
        }
        let alone = self.runs_alone(now, request);
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

    /// Targets that serve a request and take work.
    fn targets_for<'a>(&'a self, entry: &'a Request) -> impl Iterator<Item = &'a TargetName> {
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
        own || self.others_at(target, 0)
    }

    /// Whether a suspect would share `target` with another suspect; then it waits. Were they
    /// sent there together, the innocent would fall with the guilty a second time.
    pub(super) fn must_wait_for(
        &mut self,
        now: MonoMs,
        request: RequestId,
        target: &TargetName,
    ) -> bool {
        let shares = self.runs_alone(now, request) && self.has_suspect(now, target);
        if shares {
            self.hold(now, request, "a suspect, and another suspect runs there");
        }
        shares
    }

    /// Routes again what was held.
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
            let text = format!("waits: {why}");
            self.decide(now, Subsystem::Requests, Some(request), text);
        }
    }

    fn standing(&self, now: MonoMs, request: RequestId) -> Suspicion {
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

    fn twin_in_flight(&self, request: RequestId) -> bool {
        let Some(entry) = self.requests.get(request) else {
            return false;
        };
        let fingerprint = entry.submission.fingerprint;
        self.requests
            .in_flight()
            .any(|other| other.submission.fingerprint == fingerprint)
    }
}

/// What became of a run of a target, as far as is known.
fn fate_of(targets: &Targets, target: &TargetName, run: Incarnation) -> RunStatus {
    match targets.get(target) {
        None => RunStatus::Unknown,
        Some(state) if state.incarnation != Some(run) => RunStatus::Dead,
        Some(state) if state.health == TargetHealth::Gone => RunStatus::Dead,
        Some(state) => RunStatus::Alive(state.reported_at),
    }
}
