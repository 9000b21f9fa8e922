use {
    crate::{records::RecordStore, time::MonoMs},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Heartbeat, News, PeerFrame, RecordSummary},
    },
};

/// Time between heartbeats, in ms.
pub const HEARTBEAT_MS: u64 = 500;
/// Time between attempts to open one link, in ms.
const RELINK_MS: u64 = 1_000;
/// Time that the side with the higher address leaves to the other before it opens a link itself.
const OPEN_ANYWAY_MS: u64 = 2_000;

/// The open links, and those being opened.
#[derive(Debug, Default)]
pub struct Links {
    open: BTreeMap<Incarnation, Link>,
    unlinked: BTreeMap<SocketAddr, Unlinked>,
}

/// A wanted link that isn't open.
#[derive(Debug)]
struct Unlinked {
    since: MonoMs,
    tried: Option<MonoMs>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    beats: u64,
    next_beat: MonoMs,
    pending: News,
    summary: RecordSummary,
    /// The peer's bucket digests, as it told them with its last pull.
    buckets: Vec<u64>,
}

impl Links {
    /// Notes an open link.
    pub fn opened(&mut self, now: MonoMs, peer: Incarnation, address: SocketAddr) {
        self.open.insert(
            peer,
            Link {
                address,
                beats: 0,
                next_beat: now,
                pending: News::default(),
                summary: RecordSummary::default(),
                buckets: Vec::new(),
            },
        );
    }

    /// Notes a closed link, or one that didn't open.
    pub fn closed(&mut self, peer: Option<Incarnation>) {
        if let Some(peer) = peer {
            self.open.remove(&peer);
        }
    }

    /// Addresses of `wanted` to which a link should be opened now.
    ///
    /// Of two daemons the one with the lower address opens the link, so that there is one. The
    /// other does after a while: the first may not know it or be unable to reach it, and the two
    /// would stay unlinked for good.
    pub fn to_open(
        &mut self,
        now: MonoMs,
        own: SocketAddr,
        wanted: &BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let open: BTreeSet<SocketAddr> = self.open.values().map(|link| link.address).collect();
        self.unlinked
            .retain(|address, _| wanted.contains(address) && !open.contains(address));
        for address in wanted.difference(&open) {
            let unlinked = Unlinked {
                since: now,
                tried: None,
            };
            self.unlinked.entry(*address).or_insert(unlinked);
        }
        self.unlinked
            .iter_mut()
            .filter(|(address, unlinked)| {
                **address > own || now.since(unlinked.since) >= OPEN_ANYWAY_MS
            })
            .filter(|(_, unlinked)| unlinked.tried.is_none_or(|t| now.since(t) >= RELINK_MS))
            .map(|(address, unlinked)| {
                unlinked.tried = Some(now);
                *address
            })
            .collect()
    }

    /// Queues news for all links but the one it came from.
    pub fn spread(&mut self, news: &News, except: Option<Incarnation>) {
        let links = self
            .open
            .iter_mut()
            .filter(|(peer, _)| Some(**peer) != except);
        for (_, link) in links {
            link.pending.members.extend(news.members.iter().cloned());
            link.pending.targets.extend(news.targets.iter().cloned());
            link.pending.loads.extend(news.loads.iter().cloned());
            link.pending.accounts.extend(news.accounts.iter().cloned());
            link.pending.poison.extend(news.poison.iter().cloned());
        }
    }

    /// Heartbeats that are due, with the news that waits.
    pub fn beats(&mut self, now: MonoMs, records: &RecordSummary) -> Vec<(Incarnation, PeerFrame)> {
        self.open
            .iter_mut()
            .filter(|(_, link)| link.next_beat <= now)
            .map(|(peer, link)| {
                link.beats += 1;
                link.next_beat = now + HEARTBEAT_MS;
                let heartbeat = Heartbeat {
                    number: link.beats,
                    records: records.clone(),
                };
                let frame = PeerFrame {
                    heartbeat: Some(heartbeat),
                    news: std::mem::take(&mut link.pending),
                    ..PeerFrame::default()
                };
                (*peer, frame)
            })
            .collect()
    }

    /// Notes what a peer holds of the records.
    pub fn holds(&mut self, peer: Incarnation, summary: &RecordSummary) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.summary = summary.clone();
        }
    }

    /// Peers with open links.
    pub fn peers(&self) -> impl Iterator<Item = Incarnation> {
        self.open.keys().copied()
    }

    /// Notes the digests of a peer's buckets.
    pub fn holds_buckets(&mut self, peer: Incarnation, digests: &[u64]) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.buckets = digests.to_vec();
        }
    }

    /// What a peer held of the records when it last said so.
    pub fn summary_of(&self, peer: Incarnation) -> RecordSummary {
        let link = self.open.get(&peer);
        link.map(|link| link.summary.clone()).unwrap_or_default()
    }

    /// Peers known to hold the same in a bucket: all of it agrees, or this bucket did when the
    /// peer last told its digests.
    pub fn in_agreement(
        &self,
        records: &RecordStore,
        bucket: usize,
    ) -> impl Iterator<Item = Incarnation> {
        let own = records.summary();
        self.open
            .iter()
            .filter(move |(_, link)| {
                link.summary == own || records.buckets().agrees(bucket, &link.buckets)
            })
            .map(|(peer, _)| *peer)
    }
}
