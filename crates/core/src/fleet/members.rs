mod health;
mod member;

pub use member::Member;

use {
    crate::time::MonoMs,
    health::Health,
    member::{SUSPECT_AFTER_MS, Verdict},
    std::collections::{BTreeMap, HashMap, btree_map::Entry},
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, MemberNews, MemberStamp, MemberState},
    },
};

/// What a statement about a daemon did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// Nothing: it was known, or is over.
    Known,
    /// It is passed on.
    News,
    /// This daemon was suspected and has contradicted.
    Refuted,
    /// Another run has taken this daemon's place.
    Superseded,
}

/// The other daemons, by incarnation, and what is told of this one.
///
/// Death is only said on proof, and then it is final: another run answers on the same instance, or
/// the daemon said that it leaves and fell silent. Silence alone is suspicion, since a partition
/// looks the same; a suspected daemon gets no callers and no part in any ranking, and is forgotten
/// after a while without a verdict. So two sides of a partition can take each other back.
#[derive(Debug)]
pub struct Members {
    own: MemberNews,
    by_incarnation: BTreeMap<Incarnation, Member>,
    health: Health,
}

impl Members {
    /// A daemon that knows no other.
    pub fn new(own: MemberNews) -> Self {
        Self {
            own,
            by_incarnation: BTreeMap::new(),
            health: Health::default(),
        }
    }

    /// What is told of this daemon.
    pub fn own(&self) -> &MemberNews {
        &self.own
    }

    /// This daemon leaves. Returns what to tell, once.
    pub fn leave(&mut self) -> Option<MemberNews> {
        if self.own.state == MemberState::Leaving {
            return None;
        }
        self.own.version += 1;
        self.own.state = MemberState::Leaving;
        Some(self.own.clone())
    }

    /// Notes an open link. Returns the runs whose place this one has taken.
    pub fn linked(&mut self, now: MonoMs, hello: &Hello) -> Vec<MemberNews> {
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
        member.watched = true;
        member.sign_of_life(now);
        self.supersede(now, &news)
    }

    /// A former run on the same instance or address is dead, unless it is heard from: then two
    /// processes share a name by mistake, and neither proves the other's end.
    fn supersede(&mut self, now: MonoMs, newer: &MemberNews) -> Vec<MemberNews> {
        self.by_incarnation
            .values_mut()
            .filter(|member| member.news.incarnation != newer.incarnation)
            .filter(|member| member.news.state != MemberState::Dead)
            .filter(|member| {
                member.news.instance == newer.instance
                    || member.news.peer_address == newer.peer_address
            })
            .filter(|member| !member.linked || member.silent_ms(now) > SUSPECT_AFTER_MS)
            .map(|member| {
                member.set_state(now, MemberState::Dead);
                member.news.clone()
            })
            .collect()
    }

    /// Notes that a link is closed: on purpose, or by a failure, in which case silence counts.
    pub fn unlinked(&mut self, peer: Incarnation, on_purpose: bool) {
        if let Some(member) = self.by_incarnation.get_mut(&peer) {
            member.linked = false;
            member.watched &= !on_purpose;
        }
    }

    /// Notes that something came over the link.
    pub fn heard(&mut self, now: MonoMs, peer: Incarnation) {
        if let Some(member) = self.by_incarnation.get_mut(&peer) {
            member.sign_of_life(now);
        }
    }

    /// Takes in what is told of a daemon.
    pub fn merge(&mut self, now: MonoMs, news: &MemberNews) -> Told {
        if news.incarnation == self.own.incarnation {
            return self.told_of_own(news);
        }
        match self.by_incarnation.entry(news.incarnation) {
            // A suspicion of a daemon that isn't known would bring a forgotten one back.
            Entry::Vacant(_) if news.state == MemberState::Suspect => Told::Known,
            Entry::Vacant(vacant) => {
                vacant.insert(Member::new(now, news));
                Told::News
            }
            Entry::Occupied(mut occupied) => {
                let member = occupied.get_mut();
                let held = (member.news.version, member.news.state);
                let is_over = member.news.state == MemberState::Dead;
                if is_over
                    || (news.state != MemberState::Dead && (news.version, news.state) <= held)
                {
                    return Told::Known;
                }
                if news.state == MemberState::Alive {
                    // It spoke through others: they judge it, until it is linked again.
                    member.sign_of_life(now);
                    member.watched = member.linked;
                }
                member.news = news.clone();
                member.since = now;
                Told::News
            }
        }
    }

    fn told_of_own(&mut self, news: &MemberNews) -> Told {
        match news.state {
            MemberState::Dead => Told::Superseded,
            MemberState::Suspect if news.version >= self.own.version => {
                self.own.version = news.version + 1;
                Told::Refuted
            }
            _ => Told::Known,
        }
    }

    /// Whether this process was paused since it last asked.
    pub fn was_paused(&mut self, now: MonoMs) -> bool {
        self.health.tick(now)
    }

    /// Judges silence. Returns what is to be told.
    pub fn tick(&mut self, now: MonoMs) -> Vec<MemberNews> {
        let doubt = self.health.doubt();
        let mut told = Vec::new();
        self.by_incarnation
            .retain(|_, member| match member.judge(now, doubt) {
                Verdict::Stays => true,
                Verdict::Forgotten => member.linked,
                Verdict::Becomes(state) => {
                    member.set_state(now, state);
                    told.push(member.news.clone());
                    true
                }
            });
        told
    }

    /// This daemon was paused: it has heard nobody, and that is its own fault. All others get their
    /// whole time again, and more of it for a while.
    pub fn doubt_all(&mut self, now: MonoMs) {
        self.health.doubt_more(now);
        for member in self.by_incarnation.values_mut() {
            member.excused = now;
        }
    }

    /// A stamp for each daemon that is held to be alive and was heard of lately, and for this one.
    pub fn stamps(&self, now: MonoMs) -> Vec<MemberStamp> {
        const BEAT_MS: u64 = 1_000;
        let own = stamp(&self.own, now.0 / BEAT_MS);
        let others = self
            .fresh(now)
            .map(|member| stamp(&member.news, member.beat));
        std::iter::once(own).chain(others).collect()
    }

    /// The daemons of which a sign of life came of late.
    pub fn fresh(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.is_fresh(now))
    }

    /// Takes in a peer's stamps. Returns what the peer lacks.
    pub fn take_stamps(&mut self, now: MonoMs, stamps: &[MemberStamp]) -> Vec<MemberNews> {
        let by_short: HashMap<u64, &MemberStamp> =
            stamps.iter().map(|stamp| (stamp.short, stamp)).collect();
        let mut lacking = Vec::new();
        for member in self.by_incarnation.values_mut() {
            let short = MemberStamp::short_of(member.news.incarnation);
            let lacks = match by_short.get(&short) {
                Some(stamp) => {
                    if stamp.beat > member.beat {
                        member.beat = stamp.beat;
                        member.sign_of_life(now);
                    }
                    let over = !member.is_alive() && stamp.version <= member.news.version;
                    over || stamp.version < member.news.version
                }
                None => member.is_fresh(now),
            };
            if lacks {
                lacking.push(member.news.clone());
            }
        }
        lacking
    }

    /// A daemon by incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.by_incarnation.get(&incarnation)
    }

    /// The daemons that are held to be alive.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_alive())
    }

    /// All daemons known, the dead ones that are still remembered among them.
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
