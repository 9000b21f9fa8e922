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

/// Time between heartbeats on a link, in ms.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Silence after which a link is closed and opened again, in ms: three heartbeats. A middlebox may
/// lose track of a connection, which then stays silent for good while a new one works; so the link
/// is renewed before its peer is suspected.
const LINK_SILENCE_TIMEOUT_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;
/// Time between attempts to open a link to one address, in ms.
const OPEN_RETRY_MS: u64 = 1_000;
/// Time for which the side with the higher address waits for the other to open the link, in ms.
const PASSIVE_OPEN_DELAY_MS: u64 = 2_000;
/// Time after which a link that the topology doesn't include is closed, in ms.
const EXCESS_LINK_GRACE_MS: u64 = 30_000;
/// Time between two frames with the stamps of all daemons alive, in ms. Each goes to the next link
/// in turn.
const STAMPS_INTERVAL_MS: u64 = 5_000;

/// The open links, and the wanted ones that aren't open yet.
#[derive(Debug, Default)]
pub struct Links {
    open: BTreeMap<Incarnation, Link>,
    missing: BTreeMap<SocketAddr, MissingLink>,
    stamps_sent_at: MonoMs,
    last_stamps_to: Option<Incarnation>,
}

/// A wanted link that isn't open.
#[derive(Debug)]
struct MissingLink {
    since: MonoMs,
    last_tried_at: Option<MonoMs>,
}

impl Links {
    /// Records that a link opened. A second link to the same peer replaces the first on both sides:
    /// the first may be one that a middlebox lost track of.
    pub fn on_opened(&mut self, now: MonoMs, peer: Incarnation, address: SocketAddr) {
        self.open.insert(peer, Link::new(now, address));
        self.missing.remove(&address);
    }

    /// Records that a link closed, or failed to open.
    pub fn on_closed(&mut self, peer: Option<Incarnation>) {
        if let Some(peer) = peer {
            self.open.remove(&peer);
        }
    }

    /// Records that a frame arrived over a link.
    pub fn on_frame(&mut self, now: MonoMs, peer: Incarnation) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.last_received_at = now;
        }
    }

    /// Restarts the silence timeout of all links, after this process was paused.
    pub fn reset_silence(&mut self, now: MonoMs) {
        for link in self.open.values_mut() {
            link.last_received_at = now;
        }
    }

    /// Returns the peers whose links fell silent and are to be renewed.
    pub fn silent_peers(&self, now: MonoMs) -> Vec<Incarnation> {
        self.open
            .iter()
            .filter(|(_, link)| now.since(link.last_received_at) > LINK_SILENCE_TIMEOUT_MS)
            .map(|(peer, _)| *peer)
            .collect()
    }

    /// Returns the peers whose links have been outside the topology for longer than the grace time.
    pub fn excess_links(&mut self, now: MonoMs, wanted: &BTreeSet<SocketAddr>) -> Vec<Incarnation> {
        let mut excess = Vec::new();
        for (peer, link) in &mut self.open {
            if wanted.contains(&link.address) {
                link.unwanted_since = None;
                continue;
            }
            let since = *link.unwanted_since.get_or_insert(now);
            if now.since(since) > EXCESS_LINK_GRACE_MS {
                excess.push(*peer);
            }
        }
        excess
    }

    /// Returns the peer that gets the stamps of all daemons alive now; `None` if they aren't due.
    pub fn next_stamps_recipient(&mut self, now: MonoMs) -> Option<Incarnation> {
        if now.since(self.stamps_sent_at) < STAMPS_INTERVAL_MS {
            return None;
        }
        let last = self.last_stamps_to;
        let next = self.open.keys().find(|peer| Some(**peer) > last);
        let next = *next.or_else(|| self.open.keys().next())?;
        self.stamps_sent_at = now;
        self.last_stamps_to = Some(next);
        Some(next)
    }

    /// Returns the addresses of `wanted` to which a link should be opened now.
    ///
    /// Of two daemons the one with the lower address opens the link, so that there is only one. The
    /// other one does so after a delay: the first may not know it or be unable to reach it, and the
    /// two would stay unlinked for good.
    pub fn addresses_to_open(
        &mut self,
        now: MonoMs,
        own: SocketAddr,
        wanted: &BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let open: BTreeSet<SocketAddr> = self.open.values().map(|link| link.address).collect();
        self.missing
            .retain(|address, _| wanted.contains(address) && !open.contains(address));
        for address in wanted.difference(&open) {
            let missing = MissingLink {
                since: now,
                last_tried_at: None,
            };
            self.missing.entry(*address).or_insert(missing);
        }
        self.missing
            .iter_mut()
            .filter(|(address, missing)| {
                **address > own || now.since(missing.since) >= PASSIVE_OPEN_DELAY_MS
            })
            .filter(|(_, missing)| {
                missing
                    .last_tried_at
                    .is_none_or(|t| now.since(t) >= OPEN_RETRY_MS)
            })
            .map(|(address, missing)| {
                missing.last_tried_at = Some(now);
                *address
            })
            .collect()
    }

    /// Makes a link to this address due immediately, after the old one fell silent. Both sides try.
    pub fn retry_immediately(&mut self, now: MonoMs, address: SocketAddr) {
        let missing = MissingLink {
            since: MonoMs(now.0.saturating_sub(PASSIVE_OPEN_DELAY_MS)),
            last_tried_at: None,
        };
        self.missing.insert(address, missing);
    }

    /// Queues news for all links except the one it came from.
    pub fn broadcast(&mut self, news: &News, except: Option<Incarnation>) {
        let links = self
            .open
            .iter_mut()
            .filter(|(peer, _)| Some(**peer) != except);
        for (_, link) in links {
            link.news.put(news);
        }
    }

    /// Queues news for one link.
    pub fn enqueue(&mut self, peer: Incarnation, news: &News) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.news.put(news);
        }
    }

    /// Returns the frames to send now: due heartbeats with the queued news. News of members, of
    /// leaving targets and of requests that crash targets isn't held until the heartbeat, since it
    /// has several hops to make within seconds.
    pub fn due_frames(
        &mut self,
        now: MonoMs,
        records: &RecordSummary,
    ) -> Vec<(Incarnation, PeerFrame)> {
        self.open
            .iter_mut()
            .filter(|(_, link)| link.next_heartbeat_at <= now || link.news.is_urgent())
            .map(|(peer, link)| {
                let mut frame = PeerFrame {
                    news: link.news.take(),
                    ..PeerFrame::default()
                };
                if link.next_heartbeat_at <= now {
                    link.heartbeats_sent += 1;
                    link.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
                    frame.heartbeat = Some(Heartbeat {
                        number: link.heartbeats_sent,
                        records: records.clone(),
                    });
                }
                (*peer, frame)
            })
            .collect()
    }

    /// Stores a peer's summary of its records.
    pub fn set_summary(&mut self, peer: Incarnation, summary: &RecordSummary) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.summary = summary.clone();
        }
    }

    /// Returns the number of open links.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the peers with open links.
    pub fn peers(&self) -> impl Iterator<Item = Incarnation> {
        self.open.keys().copied()
    }

    /// Stores the bucket digests of a peer.
    pub fn set_buckets(&mut self, peer: Incarnation, digests: &[u64]) {
        if let Some(link) = self.open.get_mut(&peer) {
            link.buckets = digests.to_vec();
        }
    }

    /// Returns the last summary of a peer's records; the summary of no records if it sent none.
    pub fn summary_of(&self, peer: Incarnation) -> RecordSummary {
        let link = self.open.get(&peer);
        link.map(|link| link.summary.clone()).unwrap_or_default()
    }

    /// Returns the peers known to hold the same records in a bucket: their summary equals this
    /// daemon's, or the bucket's digest did in their last pull.
    pub fn peers_in_agreement(
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
