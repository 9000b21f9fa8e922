//! What waits at targets: noted here when work is sent and ends, and told to peers.

use {
    super::Core,
    crate::{
        action::Action,
        fleet::Job,
        requests::{Flight, Request},
        routing::{Ask, Choice, Weight, tokens_of},
        time::MonoMs,
    },
    whinlatch_wire::{
        ids::{AttemptId, RequestId, TargetName},
        peer::{News, PeerFrame, TargetLoad},
    },
};

/// Part of a prompt's time that may be waiting if it is to teach the target's rate.
const CLEAN_PART: f64 = 0.1;

impl Core {
    /// Priority of a request at an engine.
    pub(super) fn priority_of(&self, entry: &Request) -> u8 {
        let policy = self.records.in_force().policy();
        let ask = Ask::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        match ask.weight {
            Weight::Light => 2,
            Weight::Medium => 4,
            Weight::Long => 6,
        }
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
        let ask = Ask::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let group = self.groups.get(request);
        let job = Job {
            attempt,
            sent: now,
            wait_ms: choice.wait_ms,
            tokens: ask.prompt_tokens(),
            engines: group.map_or(1, |group| group.parts.len()),
            read_ms: choice.read_ms,
            memory_tokens: group.map_or(tokens_of(ask.work), |group| group.part_tokens),
            weight: ask.weight,
            clean: choice.wait_ms <= choice.read_ms * CLEAN_PART,
        };
        let mut touched = vec![choice.target.clone()];
        if let Some(group) = group {
            let others = group.parts.iter().map(|part| part.target.clone());
            touched.extend(others.filter(|target| *target != choice.target));
        }
        for target in &touched {
            if let Some(state) = self.targets.get_mut(target) {
                state.load.sent(job);
            }
        }
        if ask.weight > Weight::Light {
            self.untold.extend(touched);
        } else {
            self.router.note_light(now, job.read_ms);
        }
    }

    /// Notes the first token of an attempt and learns from it.
    pub(super) fn note_read(&mut self, now: MonoMs, request: RequestId, attempt: AttemptId) {
        let Some(flight) = self.requests.get(request).and_then(|e| e.flight().cloned()) else {
            return;
        };
        let Some(state) = self.targets.get_mut(&flight.target) else {
            return;
        };
        if let Some(sample) = state.load.sample(now, attempt) {
            self.targets.learn(&flight.target, &sample);
        }
        self.forget_load(&flight);
    }

    /// Forgets what waits for an attempt, at its target and at the others of its group.
    pub(super) fn forget_load(&mut self, flight: &Flight) {
        for target in [&flight.target].into_iter().chain(&flight.helpers) {
            let state = self.targets.get_mut(target);
            let ended = state.and_then(|state| state.load.ended(flight.attempt));
            if ended.is_some_and(|job| job.weight > Weight::Light) {
                self.untold.push(target.clone());
            }
        }
    }

    /// Tells peers at once of heavy work that came or went here. Guards against two daemons that send
    /// heavy prompts to one target because each knows only of its own until the next report.
    pub(super) fn tell_loads(&mut self, now: MonoMs) {
        if self.untold.is_empty() {
            return;
        }
        let targets = std::mem::take(&mut self.untold);
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
        let medium_ms = state.load.own_ms(now, Weight::Medium);
        let long_ms = state.load.own_ms(now, Weight::Long);
        Some(TargetLoad {
            origin: self.options.incarnation,
            number: self.load_number,
            target: target.clone(),
            in_flight: state.in_flight,
            prefill_left_ms: (medium_ms + long_ms) as u64,
            long_left_ms: long_ms as u64,
        })
    }

    /// Takes in what peers say of their work. Returns what is to be passed on: nothing while every
    /// daemon is linked to every other, since then each has heard it from its origin.
    pub(super) fn take_loads(&mut self, now: MonoMs, loads: &[TargetLoad]) -> Vec<TargetLoad> {
        let own = self.options.incarnation;
        let mut fresh = Vec::new();
        for load in loads.iter().filter(|load| load.origin != own) {
            let state = self.targets.get_mut(&load.target);
            if state.is_some_and(|state| state.load.peer_says(now, load)) {
                fresh.push(load.clone());
            }
        }
        if self.links.peers().count() >= self.members.alive().count() {
            fresh.clear();
        }
        fresh
    }
}
