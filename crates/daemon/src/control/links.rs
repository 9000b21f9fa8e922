use {
    super::LinkId,
    async_channel::Sender,
    std::collections::HashMap,
    whinlatch_wire::{ids::Incarnation, peer::PeerFrame},
};

/// The open links to peers, one for each.
#[derive(Debug, Default)]
pub struct OpenLinks {
    by_peer: HashMap<Incarnation, OpenLink>,
}

#[derive(Debug)]
struct OpenLink {
    id: LinkId,
    frames: Sender<PeerFrame>,
}

impl OpenLinks {
    /// Notes an open link. An older one to the same peer is closed by it: both sides may have
    /// opened one, and the older may be silent for good.
    pub fn insert(&mut self, peer: Incarnation, id: LinkId, frames: Sender<PeerFrame>) {
        self.by_peer.insert(peer, OpenLink { id, frames });
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
