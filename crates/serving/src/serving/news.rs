//! What is told to whom: prompts to those that choose engines in their group, the rest to all.

use {
    super::Serving,
    crate::{
        fleet::{EngineGroup, Frame, JobId},
        names::TargetId,
    },
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
};

/// Groups of engines among which an instance's prompts are divided. With several, a group that is
/// full has another one beside it; each costs links to those that choose in it.
const OWN_GROUPS: u32 = 4;

/// Who gets a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recipients {
    /// All peers to which there is a link.
    All,
    /// These.
    Some(Vec<SocketAddr>),
}

/// News that is to be told, by the group of engines that it is about.
#[derive(Debug, Default)]
pub struct News {
    by_group: BTreeMap<u32, Frame>,
    for_all: Frame,
}

impl News {
    /// News of a group of engines.
    pub fn of(&mut self, group: EngineGroup) -> &mut Frame {
        self.by_group.entry(group.number).or_default()
    }

    /// News for everybody.
    pub fn for_all(&mut self) -> &mut Frame {
        &mut self.for_all
    }
}

impl Serving {
    /// The groups among whose engines this instance's prompts are divided, in an order of its own.
    pub fn own_groups(&self) -> Vec<EngineGroup> {
        let count = self.groups.count();
        let used = count.min(OWN_GROUPS);
        let first = crate::fleet::hash(0, self.own.peer_address) as u32 % count;
        (0..used)
            .map(|place| self.groups.group(first + place * (count / used)))
            .collect()
    }

    /// Addresses of the peers that choose engines of a group for this instance's prompts, the first
    /// one first; none if it chooses itself.
    pub fn deciders(&self, group: EngineGroup) -> Vec<SocketAddr> {
        let ranks = self.members.ranks();
        let deciders = ranks.deciders(group);
        if !ranks.is_large() || deciders.contains(&self.own.peer_address) {
            return Vec::new();
        }
        deciders
    }

    /// The peers that are told of this instance's prompts, and for which groups of engines.
    pub fn informed_deciders(&self) -> BTreeMap<SocketAddr, Vec<EngineGroup>> {
        let mut informed: BTreeMap<SocketAddr, Vec<EngineGroup>> = BTreeMap::new();
        for group in self.own_groups() {
            for address in self.members.ranks().deciders(group) {
                if address != self.own.peer_address {
                    informed.entry(address).or_default().push(group);
                }
            }
        }
        informed
    }

    /// All prompts that this instance has at work on some groups of engines, for a peer that is to
    /// know of them from now on.
    pub fn job_snapshot(&self, now: MonoMs, groups: &[EngineGroup]) -> Frame {
        let is_theirs = |engine: &TargetId| groups.iter().any(|group| group.contains(engine));
        let jobs = || {
            self.engines
                .jobs_of_run(self.own.run)
                .filter(|job| job.placed.engines.first().is_some_and(is_theirs))
        };
        Frame {
            member: Some(self.own_member(now)),
            is_snapshot: true,
            placed: jobs().map(|job| job.placed.clone()).collect(),
            started: jobs()
                .filter(|job| job.has_begun)
                .map(|job| job.placed.job)
                .collect(),
            ..Frame::default()
        }
    }

    /// What happened since the last call, and who is to be told of it.
    pub fn take_news(&mut self) -> Vec<(Recipients, Frame)> {
        let news = std::mem::take(&mut self.news);
        let mut told = Vec::new();
        if !news.for_all.is_empty() {
            told.push((Recipients::All, news.for_all));
        }
        for (number, frame) in news.by_group {
            let group = self.groups.group(number);
            let mut to = self.members.ranks().deciders(group);
            to.retain(|address| *address != self.own.peer_address);
            told.push((Recipients::Some(to), frame));
        }
        told
    }

    /// The groups whose deciders were told of a prompt, or asked to choose for it.
    pub(super) fn groups_of(&self, job: JobId) -> Vec<EngineGroup> {
        let asked = self.asked_groups.get(&job).into_iter().flatten().copied();
        let placed = self.engines.job(job).and_then(|job| {
            let engine = job.placed.engines.first()?;
            Some(self.groups.group_of(engine))
        });
        let groups: HashSet<EngineGroup> = asked.chain(placed).collect();
        groups.into_iter().collect()
    }
}
