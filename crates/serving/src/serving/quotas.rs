//! Permits for requests to targets with a rate limit.
//!
//! One instance, the holder, grants requests to a target for all instances. Equal shares of a limit would
//! leave most of it unused where hundreds of instances send little each, and a limit that each instance
//! applied on its own would be exceeded by all of them together.

use {
    super::{Refusal, Serving, requests::MIN_RETRY_AFTER_MS},
    crate::{
        fleet::{Frame, hash},
        mechanism::Mechanism,
        names::TargetId,
        quotas::{Permission, PermitRequest, PermitResponse},
        targets::TargetEntry,
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time for which nothing is sent to a target whose holder doesn't answer or has changed, in ms. Instances
/// agree on the holder again within some seconds.
const NO_HOLDER_PAUSE_MS: u64 = 200;
/// Time within which the targets of a failure domain publish that they are cold after its evacuation has ended,
/// in ms: they write their entries every 1.2 s, and a write may take another 0.8 s to be seen.
const COLD_NOTICE_MS: u64 = 2_000;

/// Where permits for a target with a limit come from.
#[derive(Debug, Clone, Copy)]
enum PermitSource {
    /// The holder, by its peer address.
    Holder(SocketAddr),
    /// This instance, at a rate in requests per second.
    Own { per_s: f64 },
}

impl Serving {
    /// Returns whether a request may be sent to a target now, and takes a token for it where this instance
    /// grants permits; otherwise returns the permit request to send to the holder.
    pub fn request_permission(&mut self, now: MonoMs, target: &TargetId) -> Permission {
        if self.closed_until(now, target).is_some() {
            return Permission::Refused;
        }
        let Some(limit_per_s) = self.limit_per_s(now, target) else {
            return Permission::Granted;
        };
        match self.permit_source(target, limit_per_s) {
            PermitSource::Holder(holder) => {
                let reply_to = Some(self.own.peer_address);
                let request = self.permit_request(target, limit_per_s, reply_to);
                Permission::AskHolder { holder, request }
            }
            PermitSource::Own { per_s } => self.take_token(now, target, per_s),
        }
    }

    /// Takes a token from the bucket of a target for which this instance grants requests at `per_s`.
    fn take_token(&mut self, now: MonoMs, target: &TargetId, per_s: f64) -> Permission {
        let bucket = self.quotas.bucket(now, target);
        match bucket.take(now, per_s) {
            Ok(()) => Permission::Granted,
            Err(wait_ms) => {
                self.quotas.record_refusal(now, target, wait_ms);
                Permission::Refused
            }
        }
    }

    /// Applies the response of a holder, `None` if none came in time. Returns whether the request may be
    /// sent.
    pub fn apply_permit_response(
        &mut self,
        now: MonoMs,
        target: &TargetId,
        response: Option<PermitResponse>,
    ) -> bool {
        let refused_for_ms =
            response.map_or(Some(NO_HOLDER_PAUSE_MS), |response| response.refused_for_ms);
        if let Some(wait_ms) = refused_for_ms {
            self.quotas.record_refusal(now, target, wait_ms);
        }
        refused_for_ms.is_none()
    }

    /// Answers a peer that considers this instance the holder of a target's quota. Refuses if it isn't.
    /// `None` for a notice of a request that was sent without a permit, which is only charged.
    pub fn answer_permit_request(
        &mut self,
        now: MonoMs,
        request: &PermitRequest,
    ) -> Option<PermitResponse> {
        let is_holder = self.holder(&request.target) == Some(self.own.peer_address);
        let bucket = self.quotas.bucket(now, &request.target);
        if request.reply_to.is_none() {
            bucket.charge(now, request.limit_per_s);
            return None;
        }
        let taken = if is_holder {
            bucket.take(now, request.limit_per_s)
        } else {
            Err(NO_HOLDER_PAUSE_MS)
        };
        Some(PermitResponse {
            number: request.number,
            refused_for_ms: taken.err(),
        })
    }

    /// Charges a request that was sent to a target without a permit. Returns the notice to send if another
    /// instance is the holder; `None` if this instance grants requests itself or the target has no limit.
    pub fn note_unpermitted_send(
        &mut self,
        now: MonoMs,
        target: &TargetId,
    ) -> Option<(SocketAddr, Frame)> {
        let limit_per_s = self.limit_per_s(now, target)?;
        match self.permit_source(target, limit_per_s) {
            PermitSource::Holder(holder) => {
                let frame = Frame {
                    permit_request: Some(self.permit_request(target, limit_per_s, None)),
                    ..Frame::default()
                };
                Some((holder, frame))
            }
            PermitSource::Own { per_s } => {
                self.quotas.bucket(now, target).charge(now, per_s);
                None
            }
        }
    }

    fn permit_request(
        &mut self,
        target: &TargetId,
        limit_per_s: f64,
        reply_to: Option<SocketAddr>,
    ) -> PermitRequest {
        self.last_permit_number += 1;
        PermitRequest {
            number: self.last_permit_number,
            reply_to,
            target: target.clone(),
            limit_per_s,
        }
    }

    /// Returns where permits for a target come from. Without a known holder each instance grants an equal
    /// share of the limit.
    fn permit_source(&self, target: &TargetId, limit_per_s: f64) -> PermitSource {
        match self.holder(target) {
            Some(holder) if holder != self.own.peer_address => PermitSource::Holder(holder),
            Some(_own) => PermitSource::Own { per_s: limit_per_s },
            None => PermitSource::Own {
                per_s: limit_per_s / self.members.peak_size() as f64,
            },
        }
    }

    /// Returns the instance that grants requests to a target for all instances, chosen by a hash among the hubs
    /// in a large fleet, since all instances link to hubs, else among the ready instances. `None` if there are
    /// none, or if the mechanism is switched off.
    fn holder(&self, target: &TargetId) -> Option<SocketAddr> {
        if !self.mechanisms.is_enabled(Mechanism::SharedQuotas) {
            return None;
        }
        let salt = xxh3_64(target.as_bytes());
        let ranks = self.members.ranks();
        let candidates = if ranks.is_large() {
            ranks.hubs()
        } else {
            ranks.ready()
        };
        let candidates = candidates.iter().copied();
        candidates.max_by_key(|address| hash(salt, *address))
    }

    /// Returns the requests per second that a target takes from all instances together: the lower one of the
    /// limit that it announced and the one while it is cold. `None` if it has none.
    pub fn limit_per_s(&self, now: MonoMs, target: &str) -> Option<f64> {
        let announced = self.notices.limit_per_s(target);
        let cold = self.cold_limit_per_s(now, target);
        announced.into_iter().chain(cold).reduce(f64::min)
    }

    /// Returns the requests per second that a cold target may get; `None` if it isn't cold.
    ///
    /// Guards against targets that come back cold all at once, as after the loss or the evacuation of their
    /// failure domain: they are idle, so every instance prefers them, and together they would crash them.
    fn cold_limit_per_s(&self, now: MonoMs, target: &str) -> Option<f64> {
        if !self.configuration.as_ref()?.has_cold_starts() {
            return None;
        }
        let service = &self.targets.entry(target)?.service;
        let cold_start = self.configuration.as_ref()?.service(service)?.cold_start?;
        let after_evacuation_ms = cold_start.duration_ms + COLD_NOTICE_MS;
        let may_be_cold = self.targets.may_be_cold(now, target, after_evacuation_ms);
        may_be_cold.then(|| self.cold_rule.rate_per_s(&cold_start))
    }

    /// Returns the number of targets that may be cold.
    pub fn cold_target_count(&self, now: MonoMs) -> usize {
        let is_cold = |entry: &&TargetEntry| self.cold_limit_per_s(now, &entry.id).is_some();
        self.targets.all_ready().filter(is_cold).count()
    }

    pub(super) fn is_limited(&self, now: MonoMs, target: &str) -> bool {
        self.limit_per_s(now, target).is_some()
    }

    /// Returns until when nothing may be sent to a target, because its holder refused a permit or it asked
    /// for a pause; `None` if it is open.
    pub fn closed_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        let refused = self.quotas.refused_until(now, target);
        let refused = refused.filter(|_until| self.is_limited(now, target));
        refused.max(self.notices.paused_until(now, target))
    }

    /// Returns the targets to which nothing may be sent now.
    pub fn closed_targets(&self, now: MonoMs) -> Vec<TargetId> {
        let may_be_closed = self
            .quotas
            .refused_targets()
            .chain(self.notices.paused_targets());
        may_be_closed
            .filter(|target| self.closed_until(now, target).is_some())
            .cloned()
            .collect()
    }

    /// Returns the refusal of a request for which no target of a service is open: until the first one
    /// opens, if any is closed, else because there is no target.
    pub fn refusal_for_closed_targets(&self, now: MonoMs, service: &str) -> Refusal {
        let until = |entry: &TargetEntry| self.closed_until(now, &entry.id);
        let opens_at = self.targets.ready(service).filter_map(until).min();
        opens_at.map_or(Refusal::NoTarget, |at| Refusal::AtLimit {
            retry_after_ms: at.since(now).max(MIN_RETRY_AFTER_MS),
        })
    }
}
