use {
    super::link::Link,
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
/// Silence after which a link is closed and a fresh one tried, in ms: three heartbeats. Something
/// between two ends may lose track of a connection, which then stays silent for good while a new
/// one works; so silence is held against the link before it is held against the peer.
const SILENT_MS: u64 = 3 * HEARTBEAT_MS;
/// Time between attempts to open one link, in ms.
const RELINK_MS: u64 = 1_000;
/// Time that the side with the higher address leaves to the other before it opens a link itself.
const OPEN_ANYWAY_MS: u64 = 2_000;
/// Time after which a link that neither side wants is closed, in ms.
const SURPLUS_MS: u64 = 30_000;
/// Time between two tellings of all that are alive, each over the next link, in ms.
const STAMPS_EVERY_MS: u64 = 5_000;

/// The open links, and those being opened.
#[derive(Debug, Default)]
pub struct Links {
    open: BTreeMap<Incarnation, Link>,
    unlinked: BTreeMap<SocketAddr, Unlinked>,
    stamped: MonoMs,
    last_stamped: Option<Incarnation>,
}

/// A wanted link that isn't open.
#[derive(Debug)]
struct Unlinked {
    since: MonoMs,
    tried: Option<MonoMs>,
}

impl Links {
    /// Notes an open link. A second one to the same peer takes the place of the first on both
    /// sides: the first may be one of which something between them has lost track.
    pub fn opened(&mut self, now: MonoMs, peer: Incarnation, address: SocketAddr) {
        self.open.insert(peer, Link::new(now, address));
        self.unlinked.remove(&address);
    }

    /// Notes a closed link, or one that didn't open.
    pub fn closed(&mut self, peer: Option<Incarnation>) {
        if let Some(peer) = peer {
            self.open.remove(&peer);
        }
    }

    /// Notes that something came over a link.
    pub fn heard(&mut self, now: MonoMs, peer: Incarnation) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.heard = now;
        }
    }

    /// This daemon was paused; that it heard nothing is its own fault.
    pub fn doubt_all(&mut self, now: MonoMs) {
        for link in self.open.values_mut() {
            link.heard = now;
        }
    }

    /// Peers whose links fell silent, to be closed and opened afresh.
    pub fn silent(&self, now: MonoMs) -> Vec<Incarnation> {
        self.open
            .iter()
            .filter(|(_, link)| now.since(link.heard) > SILENT_MS)
            .map(|(peer, _)| *peer)
            .collect()
    }

    /// Peers whose links neither side has wanted for a while.
    pub fn surplus(&mut self, now: MonoMs, wanted: &BTreeSet<SocketAddr>) -> Vec<Incarnation> {
        let mut surplus = Vec::new();
        for (peer, link) in &mut self.open {
            if wanted.contains(&link.address) {
                link.surplus_since = None;
                continue;
            }
            let since = *link.surplus_since.get_or_insert(now);
            if now.since(since) > SURPLUS_MS {
                surplus.push(*peer);
            }
        }
        surplus
    }

    /// The link over which all that are alive are told now, if it is time.
    pub fn stamps_to(&mut self, now: MonoMs) -> Option<Incarnation> {
        if now.since(self.stamped) < STAMPS_EVERY_MS {
            return None;
        }
        let last = self.last_stamped;
        let next = self.open.keys().find(|peer| Some(**peer) > last);
        let next = *next.or_else(|| self.open.keys().next())?;
        self.stamped = now;
        self.last_stamped = Some(next);
        Some(next)
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

    /// A link to this address fell silent: a fresh one is tried by both sides at once.
    pub fn open_at_once(&mut self, now: MonoMs, address: SocketAddr) {
        let unlinked = Unlinked {
            since: MonoMs(now.0.saturating_sub(OPEN_ANYWAY_MS)),
            tried: None,
        };
        self.unlinked.insert(address, unlinked);
    }

    /// Queues news for all links but the one it came from.
    pub fn spread(&mut self, news: &News, except: Option<Incarnation>) {
        let links = self
            .open
            .iter_mut()
            .filter(|(peer, _)| Some(**peer) != except);
        for (_, link) in links {
            link.news.put(news);
        }
    }

    /// Queues news for one link.
    pub fn tell(&mut self, peer: Incarnation, news: &News) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.news.put(news);
        }
    }

    /// Heartbeats that are due, with the news that waits. News of members, leaving targets and
    /// requests that bring down targets goes at once: it has a few hops to go within seconds.
    pub fn beats(&mut self, now: MonoMs, records: &RecordSummary) -> Vec<(Incarnation, PeerFrame)> {
        self.open
            .iter_mut()
            .filter(|(_, link)| link.next_beat <= now || link.news.is_urgent())
            .map(|(peer, link)| {
                let mut frame = PeerFrame {
                    news: link.news.take(),
                    ..PeerFrame::default()
                };
                if link.next_beat <= now {
                    link.beats += 1;
                    link.next_beat = now + HEARTBEAT_MS;
                    frame.heartbeat = Some(Heartbeat {
                        number: link.beats,
                        records: records.clone(),
                    });
                }
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

    /// Links that are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
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
