use {
    super::LinkId,
    async_channel::Sender,
    std::collections::HashMap,
    whinlatch_core::MonoMs,
    whinlatch_wire::{ids::Incarnation, peer::PeerFrame},
};

/// The open links to peers, at most one for each peer.
#[derive(Debug, Default)]
pub struct OpenLinks {
    by_peer: HashMap<Incarnation, OpenLink>,
}

/// Two links to the same peer, one opened by each side, are taken as simultaneous if they opened
/// within this time, in ms.
const SIMULTANEOUS_OPEN_MS: u64 = 1_000;

/// A link in use.
#[derive(Debug)]
pub struct OpenLink {
    /// The link's id within this process.
    pub id: LinkId,
    /// The side that opened it.
    pub opened_by: Incarnation,
    /// Time at which it opened.
    pub opened_at: MonoMs,
    /// Queue of frames to the peer.
    pub frames: Sender<PeerFrame>,
}

impl OpenLinks {
    /// Adds an open link and returns whether it is used. It replaces an older link to the same
    /// peer, which may be silent for good.
    ///
    /// Guards against two daemons that open links to each other at the same time: each would take
    /// the other's link as the newer one and close its own, which leaves both without a link. Of
    /// two simultaneous links, both sides keep the one that the lower incarnation opened.
    pub fn insert(&mut self, peer: Incarnation, link: OpenLink) -> bool {
        let keeps_current = self.by_peer.get(&peer).is_some_and(|current| {
            let simultaneous = current.opened_by != link.opened_by
                && link.opened_at.since(current.opened_at) < SIMULTANEOUS_OPEN_MS;
            simultaneous && current.opened_by < link.opened_by && !current.frames.is_closed()
        });
        if !keeps_current {
            self.by_peer.insert(peer, link);
        }
        !keeps_current
    }

    /// Returns whether `id` is the link in use to the peer.
    pub fn is_current(&self, peer: Incarnation, id: LinkId) -> bool {
        self.by_peer.get(&peer).is_some_and(|link| link.id == id)
    }

    /// Removes the link to a peer, which closes it.
    pub fn remove(&mut self, peer: Incarnation) {
        self.by_peer.remove(&peer);
    }

    /// Queues a frame. If the queue is full, the link is closed: a slow peer must neither make
    /// memory grow nor block the control thread.
    pub fn send(&mut self, peer: Incarnation, frame: PeerFrame) {
        let Some(link) = self.by_peer.get(&peer) else {
            return;
        };
        if link.frames.try_send(frame).is_err() {
            // Only the channel is closed. The link stays in the map until `LinkDown`, so that the
            // core sees its end exactly once.
            link.frames.close();
        }
    }

    /// Returns the number of open links.
    pub fn len(&self) -> usize {
        self.by_peer.len()
    }
}

#[cfg(test)]
#[path = "links_test.rs"]
mod tests;
