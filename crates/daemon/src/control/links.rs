use {
    super::LinkId,
    async_channel::Sender,
    std::collections::HashMap,
    whinlatch_core::MonoMs,
    whinlatch_wire::{ids::Incarnation, peer::PeerFrame},
};

/// The open links to peers, one for each.
#[derive(Debug, Default)]
pub struct OpenLinks {
    by_peer: HashMap<Incarnation, OpenLink>,
}

/// Two links that were opened within this time by either side crossed each other, in ms.
const CROSSING_MS: u64 = 1_000;

/// A link in use.
#[derive(Debug)]
pub struct OpenLink {
    /// Names it.
    pub id: LinkId,
    /// The side that opened it.
    pub opened_by: Incarnation,
    /// When it was opened.
    pub since: MonoMs,
    /// Where frames to the peer go.
    pub frames: Sender<PeerFrame>,
}

impl OpenLinks {
    /// Notes an open link and returns whether it is used. An older one to the same peer is closed
    /// by it, since that may be silent for good.
    ///
    /// Guards against two daemons that open links to each other at once: each would take the
    /// other's for the newer one and close its own, and both would be without a link. Of two that
    /// crossed, both sides keep the one that the lower incarnation opened.
    pub fn insert(&mut self, peer: Incarnation, link: OpenLink) -> bool {
        let kept = self.by_peer.get(&peer).is_some_and(|current| {
            let crossed = current.opened_by != link.opened_by
                && link.since.since(current.since) < CROSSING_MS;
            crossed && current.opened_by < link.opened_by && !current.frames.is_closed()
        });
        if !kept {
            self.by_peer.insert(peer, link);
        }
        !kept
    }

    /// Whether `id` is the link in use to the peer.
    pub fn is_current(&self, peer: Incarnation, id: LinkId) -> bool {
        self.by_peer.get(&peer).is_some_and(|link| link.id == id)
    }

    /// Closes the link to a peer.
    pub fn remove(&mut self, peer: Incarnation) {
        self.by_peer.remove(&peer);
    }

    /// Queues a frame. A peer that takes too little loses its link, so that memory stays bounded
    /// and the control thread never waits.
    pub fn send(&mut self, peer: Incarnation, frame: PeerFrame) {
        let Some(link) = self.by_peer.get(&peer) else {
            return;
        };
        if link.frames.try_send(frame).is_err() {
            // Closing the channel, not forgetting the link: its end is told to the core once.
            link.frames.close();
        }
    }

    /// Number of open links.
    pub fn len(&self) -> usize {
        self.by_peer.len()
    }
}

#[cfg(test)]
#[path = "links_test.rs"]
mod tests;
