use {super::Member, std::net::SocketAddr, whinlatch_core::MonoMs};

/// Heartbeats that may fail to come before an instance isn't named to callers: loss of a few
/// packets in a hundred delays one by a second at most and rarely takes an instance out.
const SILENT_BEATS: u64 = 3;
/// Silence that is borne in any case, in ms.
const LEAST_SILENT_MS: u64 = 1_250;
/// Time for a sign of life after a link to an instance broke, in ms.
const DOUBT_MS: u64 = 400;
/// Time for which an instance is linked to after it last asked for that, in ms: some beats of a
/// large fleet.
const ASKED_MS: u64 = 3_000;

/// What this instance knows of another.
#[derive(Debug, Clone)]
pub struct Known {
    /// What it says of itself, or what others tell of it.
    pub member: Member,
    /// Those that list it in their rosters.
    pub listed_by: Vec<SocketAddr>,
    /// When it was heard of last, here or through others.
    pub last: MonoMs,
    /// Number of groups into which it divides the engines, 0 if it didn't say.
    pub engine_groups: u32,
    heard: Option<MonoMs>,
    asked: Option<MonoMs>,
}

impl Known {
    /// An instance of which nothing was heard yet.
    pub fn new(now: MonoMs, member: Member) -> Self {
        Self {
            member,
            listed_by: Vec::new(),
            last: now,
            engine_groups: 0,
            heard: None,
            asked: None,
        }
    }

    /// Takes in what it says of itself, by whichever way that came. Returns the run that it
    /// replaces, if any.
    ///
    /// Guards against an older statement that comes later: an instance that hears a peer no more
    /// would go on naming it to callers though it has said through others that it leaves.
    pub fn says(&mut self, member: Member) -> Option<u64> {
        let former = self.member.run;
        if member.run == former && member.said_at_ms < self.member.said_at_ms {
            return None;
        }
        self.member = member;
        (former != self.member.run).then_some(former)
    }

    /// It spoke for itself.
    pub fn hear(&mut self, now: MonoMs) {
        self.heard = Some(now);
        self.last = now;
    }

    /// It asked to be linked to.
    pub fn ask(&mut self, now: MonoMs) {
        self.asked = Some(now);
    }

    /// Whether it wants to be linked to.
    pub fn wants_link(&self, now: MonoMs) -> bool {
        self.asked.is_some_and(|at| now.since(at) < ASKED_MS)
    }

    /// Silence after which it isn't taken for alive, in ms.
    fn silent_ms(&self) -> u64 {
        (SILENT_BEATS * self.member.beat_ms).max(LEAST_SILENT_MS)
    }

    /// Whether it spoke for itself of late, `grace_ms` longer ago than usual at most.
    pub fn is_heard(&self, now: MonoMs, grace_ms: u64) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) < self.silent_ms() + grace_ms)
    }

    /// Unless it speaks soon, it counts as silent.
    pub fn doubt(&mut self, now: MonoMs) {
        let doubted = MonoMs((now.0 + DOUBT_MS).saturating_sub(self.silent_ms()));
        self.heard = self.heard.map(|heard| heard.min(doubted));
    }

    /// Nobody could be heard for a while, which says nothing of this one.
    pub fn excuse(&mut self, now: MonoMs) {
        if self.heard.is_some() {
            self.hear(now);
        }
    }
}
