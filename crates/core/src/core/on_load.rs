//! Load that this daemon's prompts put on targets: recorded when a prompt is sent and when it ends, and sent
//! to peers.

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

/// Interval at which the load by this daemon's long prompts is sent to peers again, in ms.
const RESEND_INTERVAL_MS: u64 = 2_000;
/// Maximum predicted wait of a prompt, as a fraction of its prefill time, for it to be a sample
/// of the target's prefill rate.
const MAX_SAMPLE_WAIT_FRACTION: f64 = 0.1;

impl Core {
    /// Returns the priority of a request at an engine: 0 is most urgent, 9 least.
    pub(super) fn priority_of(&self, entry: &Request) -> u8 {
        let policy = self.records.in_force().policy();
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        routing_request.priorities.at(routing_request.weight)
    }

    /// Records a prompt or call that is being sent, at its target and at the other engines of its group.
    pub(super) fn record_sent(
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
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let group = self.groups.get(request);
        let prompt = SentPrompt {
            attempt,
            sent_at: now,
            wait_ms: choice.wait_ms,
            tokens: routing_request.prompt_tokens(),
            engines: group.map_or(1, |group| group.parts.len()),
            read_ms: choice.read_ms,
            is_helper: false,
            memory_tokens: group.map_or(tokens_of(routing_request.work), |group| group.part_tokens),
            weight: routing_request.weight,
            is_sample: choice.wait_ms <= choice.read_ms * MAX_SAMPLE_WAIT_FRACTION,
        };
        let mut targets = vec![choice.target.clone()];
        if let Some(group) = group {
            let others = group.parts.iter().map(|part| part.target.clone());
            targets.extend(others.filter(|target| *target != choice.target));
        }
        for target in &targets {
            if let Some(state) = self.targets.get_mut(target) {
                let is_helper = *target != choice.target;
                state.load.record_sent(SentPrompt {
                    is_helper,
                    ..prompt
                });
            }
        }
        if prompt.weight > Weight::Light {
            self.unsent_loads.extend(targets);
        }
        if prompt.weight < Weight::Long {
            self.router.record_short_prompt(now, prompt.read_ms);
        }
    }

    /// Records that the first token of an attempt arrived. Its time may be a sample of the target's
    /// prefill rate, and its prompt no longer counts as waiting.
    pub(super) fn record_first_token(
        &mut self,
        now: MonoMs,
        request: RequestId,
        attempt: AttemptId,
    ) {
        let Some(in_flight) = self
            .requests
            .get(request)
            .and_then(|e| e.in_flight_attempt().cloned())
        else {
            return;
        };
        let Some(state) = self.targets.get_mut(&in_flight.target) else {
            return;
        };
        if let Some(sample) = state.load.sample(now, attempt) {
            self.targets.add_sample(&in_flight.target, &sample);
        }
        self.remove_load(&in_flight);
    }

    /// Removes an attempt from the load of its target and of the other engines of its group.
    pub(super) fn remove_load(&mut self, in_flight: &InFlightAttempt) {
        for target in [&in_flight.target].into_iter().chain(&in_flight.helpers) {
            let state = self.targets.get_mut(target);
            let ended = state.and_then(|state| state.load.remove(in_flight.attempt));
            if ended.is_some_and(|prompt| prompt.weight > Weight::Light) {
                self.unsent_loads.push(target.clone());
            }
        }
    }

    /// Sends the load by all long prompts again every [`RESEND_INTERVAL_MS`]. Guards against lost frames, and
    /// renews the queued prompts at peers, which expire them so that those of a dead daemon go away.
    pub(super) fn resend_loads(&mut self, now: MonoMs) {
        if now.since(self.loads_sent_at) < RESEND_INTERVAL_MS {
            return;
        }
        self.loads_sent_at = now;
        let long = self
            .targets
            .iter()
            .filter(|(_, state)| state.load.has_long())
            .map(|(target, _)| target.clone());
        self.unsent_loads.extend(long.collect::<Vec<_>>());
    }

    /// Sends changes in medium and long prompts to peers immediately. Guards against two daemons that send
    /// such prompts to the same target because each knows only its own until the next load report.
    pub(super) fn send_loads(&mut self, now: MonoMs) {
        if self.unsent_loads.is_empty() {
            return;
        }
        let mut targets = std::mem::take(&mut self.unsent_loads);
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
            self.emit(Action::Send {
                to,
                frame: Box::new(frame),
            });
        }
    }

    fn load_of(&mut self, now: MonoMs, target: &TargetName) -> Option<TargetLoad> {
        self.last_load_number += 1;
        let state = self.targets.get(target)?;
        let medium_ms = state.load.own_remaining_ms(now, Weight::Medium);
        let long_ms = state.load.own_remaining_ms(now, Weight::Long);
        let (queued_ms, oldest_since) = state.load.own_queued();
        Some(TargetLoad {
            origin: self.options.incarnation,
            number: self.last_load_number,
            target: target.clone(),
            in_flight: state.in_flight,
            prefill_left_ms: (medium_ms + long_ms) as u64,
            long_left_ms: long_ms as u64,
            helping_ms: state.load.own_helping_ms(now) as u64,
            claimed_ms: queued_ms as u64,
            claim_age_ms: oldest_since.map_or(0, |since| now.since(since)),
        })
    }

    /// Applies loads reported by peers and returns those to pass on: none while this daemon is linked to all
    /// others, since then each has received them from their origin.
    pub(super) fn apply_peer_loads(
        &mut self,
        now: MonoMs,
        loads: &[TargetLoad],
    ) -> Vec<TargetLoad> {
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
