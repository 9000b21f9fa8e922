//! What waits at targets: noted here when work is sent and ends, and told to peers.

use {
    super::Core,
    crate::{
        action::Action,
        fleet::SentPrompt,
        requests::{InFlightAttempt, Request},
        routing::{Choice, RoutingRequest, Weight, tokens_of},
        time::MonoMs,
    },
    whinlatch_wire::{
        ids::{AttemptId, RequestId, TargetName},
        peer::{News, PeerFrame, TargetLoad},
    },
};

/// Time between full statements of this daemon's long work, in ms.
const RESTATE_MS: u64 = 2_000;
/// Part of a prompt's time that may be waiting if it is to teach the target's rate.
const CLEAN_PART: f64 = 0.1;

impl Core {
    /// Priority of a request at an engine.
    pub(super) fn priority_of(&self, entry: &Request) -> u8 {
        let policy = self.records.in_force().policy();
        let ask = RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        ask.priorities.at(ask.weight)
    }

    /// Notes work that is sent, at its target and at those of its group.
    pub(super) fn note_sent(
        &mut self,
        now: MonoMs,
        request: RequestId,
        attempt: AttemptId,
        choice: &Choice,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let ask = RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let group = self.groups.get(request);
        let job = SentPrompt {
            attempt,
            sent_at: now,
            wait_ms: choice.wait_ms,
            tokens: ask.prompt_tokens(),
            engines: group.map_or(1, |group| group.parts.len()),
            read_ms: choice.read_ms,
            is_helper: false,
            memory_tokens: group.map_or(tokens_of(ask.work), |group| group.part_tokens),
            weight: ask.weight,
            is_sample: choice.wait_ms <= choice.read_ms * CLEAN_PART,
        };
        let mut touched = vec![choice.target.clone()];
        if let Some(group) = group {
            let others = group.parts.iter().map(|part| part.target.clone());
            touched.extend(others.filter(|target| *target != choice.target));
        }
        for target in &touched {
            if let Some(state) = self.targets.get_mut(target) {
                let is_helper = *target != choice.target;
                state.load.record_sent(SentPrompt { is_helper, ..job });
            }
        }
        if job.weight > Weight::Light {
            self.untold.extend(touched);
        }
        if job.weight < Weight::Long {
            self.router.record_short_prompt(now, job.read_ms);
        }
    }

    /// Notes the first token of an attempt and learns from it.
    pub(super) fn note_read(&mut self, now: MonoMs, request: RequestId, attempt: AttemptId) {
        let Some(flight) = self
            .requests
            .get(request)
            .and_then(|e| e.in_flight_attempt().cloned())
        else {
            return;
        };
        let Some(state) = self.targets.get_mut(&flight.target) else {
            return;
        };
        if let Some(sample) = state.load.sample(now, attempt) {
            self.targets.add_sample(&flight.target, &sample);
        }
        self.forget_load(&flight);
    }

    /// Forgets what waits for an attempt, at its target and at the others of its group.
    pub(super) fn forget_load(&mut self, flight: &InFlightAttempt) {
        for target in [&flight.target].into_iter().chain(&flight.helpers) {
            let state = self.targets.get_mut(target);
            let ended = state.and_then(|state| state.load.remove(flight.attempt));
            if ended.is_some_and(|job| job.weight > Weight::Light) {
                self.untold.push(target.clone());
            }
        }
    }

    /// States all long work again now and then. Guards against a word that got lost, and keeps claims
    /// believed, which peers forget when a daemon dies.
    pub(super) fn restate_loads(&mut self, now: MonoMs) {
        if now.since(self.restated) < RESTATE_MS {
            return;
        }
        self.restated = now;
        let long = self
            .targets
            .iter()
            .filter(|(_, state)| state.load.has_long())
            .map(|(target, _)| target.clone());
        self.untold.extend(long.collect::<Vec<_>>());
    }

    /// Tells peers at once of heavy work that came or went here. Guards against two daemons that send
    /// heavy prompts to one target because each knows only of its own until the next report.
    pub(super) fn tell_loads(&mut self, now: MonoMs) {
        if self.untold.is_empty() {
            return;
        }
        let mut targets = std::mem::take(&mut self.untold);
        targets.sort();
        targets.dedup();
        let loads: Vec<TargetLoad> = targets
            .iter()
            .filter_map(|target| self.load_of(now, target))
            .collect();
        let peers: Vec<_> = self.links.peers().collect();
        for to in peers {
            let news = News {
                loads: loads.clone(),
                ..News::default()
            };
            let frame = PeerFrame {
                news,
                ..PeerFrame::default()
            };
            self.act(Action::Send {
                to,
                frame: Box::new(frame),
            });
        }
    }

    fn load_of(&mut self, now: MonoMs, target: &TargetName) -> Option<TargetLoad> {
        self.load_number += 1;
        let state = self.targets.get(target)?;
        let medium_ms = state.load.own_remaining_ms(now, Weight::Medium);
        let long_ms = state.load.own_remaining_ms(now, Weight::Long);
        let (claimed_ms, since) = state.load.own_queued();
        Some(TargetLoad {
            origin: self.options.incarnation,
            number: self.load_number,
            target: target.clone(),
            in_flight: state.in_flight,
            prefill_left_ms: (medium_ms + long_ms) as u64,
            long_left_ms: long_ms as u64,
            helping_ms: state.load.own_helping_ms(now) as u64,
            claimed_ms: claimed_ms as u64,
            claim_age_ms: since.map_or(0, |since| now.since(since)),
        })
    }

    /// Takes in what peers say of their work. Returns what is to be passed on: nothing while every
    /// daemon is linked to every other, since then each has heard it from its origin.
    pub(super) fn take_loads(&mut self, now: MonoMs, loads: &[TargetLoad]) -> Vec<TargetLoad> {
        let own = self.options.incarnation;
        let mut fresh = Vec::new();
        for load in loads.iter().filter(|load| load.origin != own) {
            let state = self.targets.get_mut(&load.target);
            if state.is_some_and(|state| state.load.apply_peer_load(now, load)) {
                fresh.push(load.clone());
            }
        }
        if self.links.peers().count() >= self.members.alive().count() {
            fresh.clear();
        }
        fresh
    }
}
