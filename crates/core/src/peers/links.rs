use {
    crate::time::MonoMs,
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

/// The open links, and those being opened.
#[derive(Debug, Default)]
pub struct Links {
    open: BTreeMap<Incarnation, Link>,
    tried: BTreeMap<SocketAddr, MonoMs>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    beats: u64,
    next_beat: MonoMs,
    pending: News,
    summary: RecordSummary,
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
    pub fn to_open(&mut self, now: MonoMs, wanted: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let open: BTreeSet<SocketAddr> = self.open.values().map(|link| link.address).collect();
        let due: Vec<SocketAddr> = wanted
            .iter()
            .filter(|address| !open.contains(address))
            .filter(|address| {
                self.tried
                    .get(address)
                    .is_none_or(|t| now.since(*t) >= RELINK_MS)
            })
            .copied()
            .collect();
        for address in &due {
            self.tried.insert(*address, now);
        }
        due
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

    /// Peers that hold the same records as `summary` says.
    pub fn in_agreement(&self, summary: &RecordSummary) -> impl Iterator<Item = Incarnation> {
        self.open
            .iter()
            .filter(move |(_, link)| link.summary == *summary)
            .map(|(peer, _)| *peer)
    }
}
