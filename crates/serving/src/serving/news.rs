//! Outgoing news: prompts for the deciders of their group of engines, everything else for all peers.

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

/// Number of groups of engines among which an instance's prompts are divided. With several, another group is
/// available when one is full; each costs links to its deciders.
const OWN_GROUPS: u32 = 4;

/// Receivers of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Recipients {
    /// All peers to which there is a link.
    All,
    /// The peers with these addresses.
    Peers(Vec<SocketAddr>),
}

/// Frames that are filled until the next call of [`Serving::take_news`].
#[derive(Debug, Default)]
pub struct News {
    by_group: BTreeMap<u32, Frame>,
    for_all: Frame,
}

impl News {
    /// Returns the frame for the deciders of a group of engines.
    pub fn for_group(&mut self, group: EngineGroup) -> &mut Frame {
        self.by_group.entry(group.number).or_default()
    }

    /// Returns the frame for all peers.
    pub fn for_all(&mut self) -> &mut Frame {
        &mut self.for_all
    }
}

impl Serving {
    /// Returns the groups of engines among which this instance's prompts are divided. Which ones, and their
    /// order, depends on its address, so that instances spread over all groups.
    pub fn own_groups(&self) -> Vec<EngineGroup> {
        let count = self.groups.count();
        let own_count = count.min(OWN_GROUPS);
        let first = crate::fleet::hash(0, self.own.peer_address) as u32 % count;
        (0..own_count)
            .map(|index| self.groups.group(first + index * (count / own_count)))
            .collect()
    }

    /// Returns the addresses of the peers that choose engines of a group for this instance's prompts, in
    /// the order in which to ask them. Empty if this instance chooses them itself.
    pub fn deciders(&self, group: EngineGroup) -> Vec<SocketAddr> {
        let ranks = self.members.ranks();
        let deciders = ranks.deciders(group);
        if !ranks.is_large() || deciders.contains(&self.own.peer_address) {
            return Vec::new();
        }
        deciders
    }

    /// Returns the peers to which this instance reports its prompts, and the groups of engines of each.
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

    /// Returns a frame with all prompts that this instance has in flight in some groups of engines, for a
    /// peer that is informed of them from now on.
    pub fn job_snapshot(&self, now: MonoMs, groups: &[EngineGroup]) -> Frame {
        let is_in_groups = |engine: &TargetId| groups.iter().any(|group| group.contains(engine));
        let jobs = || {
            self.engines
                .jobs_of_run(self.own.run)
                .filter(|job| job.placed.engines.first().is_some_and(is_in_groups))
        };
        Frame {
            member: Some(self.own_member(now)),
            is_snapshot: true,
            placed: jobs().map(|job| job.placed.clone()).collect(),
            started: jobs()
                .filter(|job| job.has_started)
                .map(|job| job.placed.job)
                .collect(),
            ..Frame::default()
        }
    }

    /// Returns the news since the last call, and the receivers of each frame.
    pub fn take_news(&mut self) -> Vec<(Recipients, Frame)> {
        let news = std::mem::take(&mut self.news);
        let mut frames = Vec::new();
        if !news.for_all.is_empty() {
            frames.push((Recipients::All, news.for_all));
        }
        for (number, frame) in news.by_group {
            let group = self.groups.group(number);
            let mut deciders = self.members.ranks().deciders(group);
            deciders.retain(|address| *address != self.own.peer_address);
            frames.push((Recipients::Peers(deciders), frame));
        }
        frames
    }

    /// Returns the groups whose deciders were informed of a prompt or asked to choose engines for it.
    pub(super) fn groups_of(&self, job: JobId) -> Vec<EngineGroup> {
        let requested = self
            .requested_groups
            .get(&job)
            .into_iter()
            .flatten()
            .copied();
        let placed = self.engines.job(job).and_then(|job| {
            let engine = job.placed.engines.first()?;
            Some(self.groups.group_of(engine))
        });
        let groups: HashSet<EngineGroup> = requested.chain(placed).collect();
        groups.into_iter().collect()
    }
}
