use {
    crate::time::MonoMs,
    whinlatch_wire::{
        ids::FailureDomain,
        peer::{MemberNews, MemberState},
    },
};

/// Silence after which a linked daemon is suspected, in ms: six heartbeats. Three of them pass
/// before a fresh connection is tried, three more may.
pub(super) const SUSPECT_AFTER_MS: u64 = 3_000;
/// Time without a sign of life through others after which a daemon without a link is suspected, in
/// ms. Stamps go to one link each five seconds and need about eight passes to reach all.
const STALE_AFTER_MS: u64 = 120_000;
/// Further silence after which a daemon that was leaving is dead, in ms.
const GONE_AFTER_MS: u64 = 10_000;
/// Time after which a suspected or dead daemon is forgotten, in ms. Longer than any statement that
/// it is alive can travel, so that none brings it back: each daemon passes one on for at most
/// [`STALE_AFTER_MS`] after it saw a sign of life, and within the first tenth of that to each link.
const FORGET_AFTER_MS: u64 = 900_000;

/// Another daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// What is told of it.
    pub news: MemberNews,
    /// When it was last heard from, over its link or through others.
    pub heard: MonoMs,
    /// Silence up to here is this daemon's own fault: it was paused.
    pub(super) excused: MonoMs,
    /// Whether a link to it is open.
    pub linked: bool,
    /// Whether its silence is judged here by the link: from the time the link opened until it was
    /// closed on purpose, or until the daemon contradicted a suspicion through others.
    pub(super) watched: bool,
    /// Highest beat that was told of it.
    pub(super) beat: u64,
    /// When a sign of its life last came, to decide whether it is passed on as alive.
    pub(super) vouched: MonoMs,
    /// When its state last changed.
    pub(super) since: MonoMs,
}

/// What becomes of a member as time goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    Stays,
    Becomes(MemberState),
    Forgotten,
}

impl Member {
    pub(super) fn new(now: MonoMs, news: &MemberNews) -> Self {
        Self {
            news: news.clone(),
            heard: now,
            excused: now,
            linked: false,
            watched: false,
            beat: 0,
            vouched: now,
            since: now,
        }
    }

    /// Failure domain it stands in.
    pub fn domain(&self) -> &FailureDomain {
        &self.news.failure_domain
    }

    /// Whether it is held to be alive.
    pub fn is_alive(&self) -> bool {
        self.news.state == MemberState::Alive
    }

    pub(super) fn sign_of_life(&mut self, now: MonoMs) {
        self.heard = now;
        self.vouched = now;
    }

    /// Whether it was heard of so lately that others are told it is alive.
    pub(super) fn is_fresh(&self, now: MonoMs) -> bool {
        self.is_alive() && now.since(self.vouched) < STALE_AFTER_MS
    }

    pub(super) fn set_state(&mut self, now: MonoMs, state: MemberState) {
        self.news.state = state;
        self.since = now;
    }

    /// How long it has been silent by a fault of its own or of the path to it, in ms.
    pub(super) fn silent_ms(&self, now: MonoMs) -> u64 {
        now.since(self.heard.max(self.excused))
    }

    /// Judges the member's silence. `doubt` lengthens what this daemon grants to others when it has
    /// reason to mistrust itself.
    pub(super) fn judge(&self, now: MonoMs, doubt: u64) -> Verdict {
        let silent_ms = self.silent_ms(now);
        let in_state_ms = now.since(self.since);
        let allowed_ms = if self.watched {
            SUSPECT_AFTER_MS * (1 + doubt)
        } else {
            STALE_AFTER_MS
        };
        match self.news.state {
            MemberState::Alive if silent_ms > allowed_ms => Verdict::Becomes(MemberState::Suspect),
            MemberState::Leaving if silent_ms > allowed_ms + GONE_AFTER_MS => {
                Verdict::Becomes(MemberState::Dead)
            }
            MemberState::Suspect | MemberState::Dead if in_state_ms > FORGET_AFTER_MS => {
                Verdict::Forgotten
            }
            _ => Verdict::Stays,
        }
    }
}
