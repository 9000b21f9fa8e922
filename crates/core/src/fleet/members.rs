mod local_health;
mod member;

pub use member::Member;

use {
    crate::time::MonoMs,
    local_health::LocalHealth,
    member::{SUSPECT_TIMEOUT_MS, Verdict},
    std::collections::{BTreeMap, HashMap, btree_map::Entry},
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, MemberNews, MemberStamp, MemberState},
    },
};

/// Result of merging a membership update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// Nothing changed: the update was known, or the daemon is dead for good.
    Unchanged,
    /// The update was new and is to be passed on.
    Changed,
    /// The update suspects this daemon, which raised its version to refute it.
    Refuted,
    /// According to the update, another run has replaced this daemon.
    Superseded,
}

/// Membership table: the other daemons by incarnation, and what this daemon announces of itself.
///
/// A daemon is only declared dead on proof, and then for good: another run answers on the same
/// instance, or the daemon announced that it leaves and fell silent. Silence alone makes it
/// suspect, since a partition looks the same. A suspected daemon gets no callers and takes part in
/// no ranking, and is evicted after a while without being declared dead. So the two sides of a
/// partition can take each other back.
#[derive(Debug)]
pub struct Members {
    own: MemberNews,
    by_incarnation: BTreeMap<Incarnation, Member>,
    local_health: LocalHealth,
}

impl Members {
    /// Creates a table without other daemons.
    pub fn new(own: MemberNews) -> Self {
        Self {
            own,
            by_incarnation: BTreeMap::new(),
            local_health: LocalHealth::default(),
        }
    }

    /// Returns the state that this daemon announces of itself.
    pub fn own(&self) -> &MemberNews {
        &self.own
    }

    /// Marks this daemon as leaving. Returns the update to announce, `None` if it was leaving
    /// already.
    pub fn start_leaving(&mut self) -> Option<MemberNews> {
        if self.own.state == MemberState::Leaving {
            return None;
        }
        self.own.version += 1;
        self.own.state = MemberState::Leaving;
        Some(self.own.clone())
    }

    /// Records that a link opened. Returns updates for the runs that this one replaces, now dead.
    pub fn on_link_opened(&mut self, now: MonoMs, hello: &Hello) -> Vec<MemberNews> {
        let news = MemberNews {
            incarnation: hello.incarnation,
            instance: hello.instance.clone(),
            failure_domain: hello.failure_domain.clone(),
            caller_address: hello.caller_address,
            peer_address: hello.peer_address,
            version: 0,
            state: MemberState::Alive,
        };
        let member = self
            .by_incarnation
            .entry(hello.incarnation)
            .or_insert_with(|| Member::new(now, &news));
        member.linked = true;
        member.uses_link_timeout = true;
        member.record_sign_of_life(now);
        self.supersede(now, &news)
    }

    /// Declares former runs on the same instance or peer address dead, unless they still show
    /// signs of life: then two processes share a name by mistake, and neither proves the other's end.
    fn supersede(&mut self, now: MonoMs, newer: &MemberNews) -> Vec<MemberNews> {
        self.by_incarnation
            .values_mut()
            .filter(|member| member.news.incarnation != newer.incarnation)
            .filter(|member| member.news.state != MemberState::Dead)
            .filter(|member| {
                member.news.instance == newer.instance
                    || member.news.peer_address == newer.peer_address
            })
            .filter(|member| !member.linked || member.silent_ms(now) > SUSPECT_TIMEOUT_MS)
            .map(|member| {
                member.set_state(now, MemberState::Dead);
                member.news.clone()
            })
            .collect()
    }

    /// Records that a link closed. If it was closed by a failure and not on purpose, the link's short
    /// silence timeout still applies to the peer.
    pub fn on_link_closed(&mut self, peer: Incarnation, on_purpose: bool) {
        if let Some(member) = self.by_incarnation.get_mut(&peer) {
            member.linked = false;
            member.uses_link_timeout &= !on_purpose;
        }
    }

    /// Records that a frame arrived over the peer's link.
    pub fn on_frame(&mut self, now: MonoMs, peer: Incarnation) {
        if let Some(member) = self.by_incarnation.get_mut(&peer) {
            member.record_sign_of_life(now);
        }
    }

    /// Merges an update about any daemon, this one included.
    pub fn merge(&mut self, now: MonoMs, news: &MemberNews) -> MergeResult {
        if news.incarnation == self.own.incarnation {
            return self.merge_own(news);
        }
        match self.by_incarnation.entry(news.incarnation) {
            // Adding an unknown daemon as suspect would bring an evicted one back.
            Entry::Vacant(_) if news.state == MemberState::Suspect => MergeResult::Unchanged,
            Entry::Vacant(vacant) => {
                vacant.insert(Member::new(now, news));
                MergeResult::Changed
            }
            Entry::Occupied(mut occupied) => {
                let member = occupied.get_mut();
                let known = (member.news.version, member.news.state);
                let is_dead = member.news.state == MemberState::Dead;
                if is_dead
                    || (news.state != MemberState::Dead && (news.version, news.state) <= known)
                {
                    return MergeResult::Unchanged;
                }
                if news.state == MemberState::Alive {
                    // Its refutation came through other daemons, so the timeout of daemons without a
                    // link applies until a link to it opens.
                    member.record_sign_of_life(now);
                    member.uses_link_timeout = member.linked;
                }
                member.news = news.clone();
                member.state_since = now;
                MergeResult::Changed
            }
        }
    }

    fn merge_own(&mut self, news: &MemberNews) -> MergeResult {
        match news.state {
            MemberState::Dead => MergeResult::Superseded,
            MemberState::Suspect if news.version >= self.own.version => {
                self.own.version = news.version + 1;
                MergeResult::Refuted
            }
            _ => MergeResult::Unchanged,
        }
    }

    /// Returns whether this process was paused between the last call and this one.
    pub fn detect_pause(&mut self, now: MonoMs) -> bool {
        self.local_health.tick(now)
    }

    /// Applies the silence timeouts to all members. Returns the updates to announce.
    pub fn tick(&mut self, now: MonoMs) -> Vec<MemberNews> {
        let penalty = self.local_health.penalty();
        let mut changes = Vec::new();
        self.by_incarnation
            .retain(|_, member| match member.evaluate(now, penalty) {
                Verdict::Keep => true,
                Verdict::Evict => member.linked,
                Verdict::Change(state) => {
                    member.set_state(now, state);
                    changes.push(member.news.clone());
                    true
                }
            });
        changes
    }

    /// Handles a pause of this process, during which it received nothing: all silence is counted from
    /// `now`, and timeouts are longer for a while.
    pub fn on_process_resumed(&mut self, now: MonoMs) {
        self.local_health.add_penalty(now);
        for member in self.by_incarnation.values_mut() {
            member.silence_reset_at = now;
        }
    }

    /// Returns a stamp for this daemon and for each one that is considered alive and showed a
    /// recent sign of life.
    pub fn stamps(&self, now: MonoMs) -> Vec<MemberStamp> {
        /// This daemon's beat counts seconds of its own clock, so that it rises from stamp to stamp; peers
        /// compare it only with earlier beats of the same run.
        const BEAT_UNIT_MS: u64 = 1_000;
        let own = stamp(&self.own, now.0 / BEAT_UNIT_MS);
        let others = self
            .recently_seen(now)
            .map(|member| stamp(&member.news, member.highest_beat));
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the daemons with a recent sign of life.
    pub fn recently_seen(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.is_fresh(now))
    }

    /// Applies a peer's stamps. Returns the updates that the peer lacks.
    pub fn apply_stamps(&mut self, now: MonoMs, stamps: &[MemberStamp]) -> Vec<MemberNews> {
        let by_short: HashMap<u64, &MemberStamp> =
            stamps.iter().map(|stamp| (stamp.short, stamp)).collect();
        let mut lacking = Vec::new();
        for member in self.by_incarnation.values_mut() {
            let short = MemberStamp::short_of(member.news.incarnation);
            let lacks = match by_short.get(&short) {
                Some(stamp) => {
                    if stamp.beat > member.highest_beat {
                        member.highest_beat = stamp.beat;
                        member.record_sign_of_life(now);
                    }
                    let outdated = !member.is_alive() && stamp.version <= member.news.version;
                    outdated || stamp.version < member.news.version
                }
                None => member.is_fresh(now),
            };
            if lacks {
                lacking.push(member.news.clone());
            }
        }
        lacking
    }

    /// Returns a daemon by incarnation; `None` if unknown or evicted.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.by_incarnation.get(&incarnation)
    }

    /// Returns the daemons that are considered alive.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_alive())
    }

    /// Returns all known daemons, including suspected and dead ones that aren't evicted yet.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_incarnation.values()
    }
}

fn stamp(news: &MemberNews, beat: u64) -> MemberStamp {
    MemberStamp {
        short: MemberStamp::short_of(news.incarnation),
        version: news.version,
        beat,
    }
}
