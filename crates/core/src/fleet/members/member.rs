use {
    crate::time::MonoMs,
    whinlatch_wire::{
        ids::FailureDomain,
        peer::{MemberNews, MemberState},
    },
};

/// Silence after which a linked daemon is suspected, in ms. Six heartbeats: the link is renewed
/// after three, which leaves three for the new connection.
pub(super) const SUSPECT_TIMEOUT_MS: u64 = 3_000;
/// Time without a sign of life through other daemons after which a daemon without a link is
/// suspected, in ms. Stamps go to one link every five seconds and need about eight hops to reach
/// all daemons.
const UNLINKED_SUSPECT_TIMEOUT_MS: u64 = 120_000;
/// Silence, beyond the suspicion timeout, after which a leaving daemon is declared dead, in ms.
const LEAVING_DEAD_TIMEOUT_MS: u64 = 10_000;
/// Time after which a suspected or dead daemon is evicted, in ms. It exceeds the time for which any
/// update that reports it as alive can circulate, so that none adds it again: each daemon passes one
/// on for at most [`UNLINKED_SUSPECT_TIMEOUT_MS`] after it saw a sign of life, and within the first
/// tenth of that to each link.
const EVICT_TIMEOUT_MS: u64 = 900_000;

/// State of another daemon as seen by this one.
#[derive(Debug, Clone)]
pub struct Member {
    /// Latest update about it.
    pub news: MemberNews,
    /// Time of the last sign of life, over its link or through other daemons.
    pub last_seen_at: MonoMs,
    /// Silence before this time isn't counted, since this process was paused.
    pub(super) silence_reset_at: MonoMs,
    /// Whether this daemon has an open link to it.
    pub linked: bool,
    /// Whether the link's short silence timeout applies: from the time the link opened until it was
    /// closed on purpose, or until the daemon refuted a suspicion through others.
    pub(super) uses_link_timeout: bool,
    /// Highest beat seen in a stamp of it; a higher one is a sign of life.
    pub(super) highest_beat: u64,
    /// Time of the last sign of life, unaffected by pauses of this process; decides whether others
    /// receive a stamp that it is alive.
    pub(super) confirmed_alive_at: MonoMs,
    /// Time of the last change of its state; suspected and dead members are evicted by it.
    pub(super) state_since: MonoMs,
}

/// Result of applying the silence timeouts to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    Keep,
    Change(MemberState),
    Evict,
}

impl Member {
    pub(super) fn new(now: MonoMs, news: &MemberNews) -> Self {
        Self {
            news: news.clone(),
            last_seen_at: now,
            silence_reset_at: now,
            linked: false,
            uses_link_timeout: false,
            highest_beat: 0,
            confirmed_alive_at: now,
            state_since: now,
        }
    }

    /// Returns the failure domain that it announced.
    pub fn domain(&self) -> &FailureDomain {
        &self.news.failure_domain
    }

    /// Returns whether it is considered alive: neither leaving, suspected nor dead.
    pub fn is_alive(&self) -> bool {
        self.news.state == MemberState::Alive
    }

    pub(super) fn record_sign_of_life(&mut self, now: MonoMs) {
        self.last_seen_at = now;
        self.confirmed_alive_at = now;
    }

    /// Returns whether its last sign of life is recent enough to tell others that it is alive.
    pub(super) fn is_fresh(&self, now: MonoMs) -> bool {
        self.is_alive() && now.since(self.confirmed_alive_at) < UNLINKED_SUSPECT_TIMEOUT_MS
    }

    pub(super) fn set_state(&mut self, now: MonoMs, state: MemberState) {
        self.news.state = state;
        self.state_since = now;
    }

    /// Returns for how long it has been silent, in ms, not counting pauses of this process.
    pub(super) fn silent_ms(&self, now: MonoMs) -> u64 {
        now.since(self.last_seen_at.max(self.silence_reset_at))
    }

    /// Applies the silence timeouts. `penalty` comes from the local health and lengthens the link's
    /// timeout while this daemon's own view is unreliable.
    pub(super) fn evaluate(&self, now: MonoMs, penalty: u64) -> Verdict {
        let silent_ms = self.silent_ms(now);
        let in_state_ms = now.since(self.state_since);
        let allowed_ms = if self.uses_link_timeout {
            SUSPECT_TIMEOUT_MS * (1 + penalty)
        } else {
            UNLINKED_SUSPECT_TIMEOUT_MS
        };
        match self.news.state {
            MemberState::Alive if silent_ms > allowed_ms => Verdict::Change(MemberState::Suspect),
            MemberState::Leaving if silent_ms > allowed_ms + LEAVING_DEAD_TIMEOUT_MS => {
                Verdict::Change(MemberState::Dead)
            }
            MemberState::Suspect | MemberState::Dead if in_state_ms > EVICT_TIMEOUT_MS => {
                Verdict::Evict
            }
            _ => Verdict::Keep,
        }
    }
}
