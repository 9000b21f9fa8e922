//! Permission to send to targets that name a limit.
//!
//! One instance grants requests to a target for all: its holder. Equal parts of a limit would leave most of it
//! unused where each of hundreds of instances sends little, and a limit that each kept for itself would be
//! exceeded by all together.

use {
    super::{Refusal, Serving, asks::MIN_RETRY_AFTER_MS},
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

/// Time for which a target is left alone whose holder doesn't answer or is another one by now, in ms: instances
/// agree on the holder again within some seconds.
const UNANSWERED_MS: u64 = 200;

/// Where requests to a target with a limit are granted.
#[derive(Debug, Clone, Copy)]
enum Quota {
    /// At the instance that links there.
    Peer(SocketAddr),
    /// Here, at a rate.
    Own { per_s: f64 },
}

impl Serving {
    /// Whether a request may be sent to a target now.
    pub fn request_permission(&mut self, now: MonoMs, target: &TargetId) -> Permission {
        if self.closed_until(now, target).is_some() {
            return Permission::Refused;
        }
        let Some(limit_per_s) = self.limit_per_s(target) else {
            return Permission::Granted;
        };
        match self.quota_for(target, limit_per_s) {
            Quota::Peer(holder) => {
                let reply_to = Some(self.own.peer_address);
                let ask = self.permit_request(target, limit_per_s, reply_to);
                Permission::AskHolder {
                    holder,
                    request: ask,
                }
            }
            Quota::Own { per_s } => self.take_token(now, target, per_s),
        }
    }

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

    /// Takes in the answer of a holder, `None` if it gave none in time. Returns whether the request may be sent.
    pub fn apply_permit_response(
        &mut self,
        now: MonoMs,
        target: &TargetId,
        answer: Option<PermitResponse>,
    ) -> bool {
        let refused_for_ms = answer.map_or(Some(UNANSWERED_MS), |answer| answer.refused_for_ms);
        if let Some(wait_ms) = refused_for_ms {
            self.quotas.record_refusal(now, target, wait_ms);
        }
        refused_for_ms.is_none()
    }

    /// Answers another instance that takes this one for the holder of a target's quota; `None` if it only
    /// tells of a request.
    pub fn answer_permit_request(
        &mut self,
        now: MonoMs,
        ask: &PermitRequest,
    ) -> Option<PermitResponse> {
        let is_holder = self.holder(&ask.target) == Some(self.own.peer_address);
        let bucket = self.quotas.bucket(now, &ask.target);
        if ask.reply_to.is_none() {
            bucket.charge(now, ask.limit_per_s);
            return None;
        }
        let taken = if is_holder {
            bucket.take(now, ask.limit_per_s)
        } else {
            Err(UNANSWERED_MS)
        };
        Some(PermitResponse {
            number: ask.number,
            refused_for_ms: taken.err(),
        })
    }

    /// Notes a call that is sent to a target in any case. Returns what to tell whom, if the target names a limit and
    /// another instance is its holder.
    pub fn note_unpermitted_send(
        &mut self,
        now: MonoMs,
        target: &TargetId,
    ) -> Option<(SocketAddr, Frame)> {
        let limit_per_s = self.limit_per_s(target)?;
        match self.quota_for(target, limit_per_s) {
            Quota::Peer(holder) => {
                let frame = Frame {
                    permit_request: Some(self.permit_request(target, limit_per_s, None)),
                    ..Frame::default()
                };
                Some((holder, frame))
            }
            Quota::Own { per_s } => {
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
        self.next_permit += 1;
        PermitRequest {
            number: self.next_permit,
            reply_to,
            target: target.clone(),
            limit_per_s,
        }
    }

    /// What this instance goes by that sends to a target with a limit.
    fn quota_for(&self, target: &TargetId, limit_per_s: f64) -> Quota {
        match self.holder(target) {
            Some(holder) if holder != self.own.peer_address => Quota::Peer(holder),
            Some(_own) => Quota::Own { per_s: limit_per_s },
            None => Quota::Own {
                per_s: limit_per_s / self.members.peak_size() as f64,
            },
        }
    }

    /// The instance that grants requests to a target for all: a hub of a large fleet, to which all link, else
    /// any that serves. `None` if none is known: each has an equal part of the limit then.
    fn holder(&self, target: &TargetId) -> Option<SocketAddr> {
        if !self.without.has(Mechanism::SharedQuotas) {
            return None;
        }
        let salt = xxh3_64(target.as_bytes());
        let ranks = self.members.ranks();
        let candidates = if ranks.is_large() {
            ranks.hubs()
        } else {
            ranks.serving()
        };
        let candidates = candidates.iter().copied();
        candidates.max_by_key(|address| hash(salt, *address))
    }

    /// Requests a second that a target takes from all instances together, if it names a limit.
    pub fn limit_per_s(&self, target: &str) -> Option<f64> {
        self.notices.limit_per_s(target)
    }

    pub(super) fn is_limited(&self, target: &str) -> bool {
        self.limit_per_s(target).is_some()
    }

    /// Until when nothing may be sent to a target, if that is so now.
    pub fn closed_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        let refused = self.quotas.refused_until(now, target);
        let refused = refused.filter(|_until| self.is_limited(target));
        refused.max(self.notices.paused_until(now, target))
    }

    /// The targets to which nothing may be sent now.
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

    /// Why none of a service's targets takes a request now.
    pub fn refusal_for_closed_targets(&self, now: MonoMs, service: &str) -> Refusal {
        let until = |entry: &TargetEntry| self.closed_until(now, &entry.id);
        let opens_at = self.targets.ready(service).filter_map(until).min();
        opens_at.map_or(Refusal::NoTarget, |at| Refusal::AtLimit {
            retry_after_ms: at.since(now).max(MIN_RETRY_AFTER_MS),
        })
    }
}
