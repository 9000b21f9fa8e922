use {
    super::{
        awaiting::Awaiting,
        frame_codec::{EncodeFault, encode_frame},
    },
    async_channel::{Receiver, Sender, TrySendError},
    async_tungstenite::tungstenite::Bytes,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
    },
    whinlatch_serving::{
        fleet::{Frame, JobId, PlacementResponse},
        quotas::PermitResponse,
    },
};

/// Frames that may wait for a slow peer; the link is opened anew when there are more.
const WAITING_FRAMES: usize = 256;

/// The open links to peers, and the answers that are awaited from them.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<HashMap<SocketAddr, Sender<Bytes>>>,
    /// Placements that peers were asked for.
    pub placements: Awaiting<JobId, PlacementResponse>,
    /// Permits that peers were asked for, by the number of the ask.
    pub permits: Awaiting<u64, PermitResponse>,
}

impl PeerLinks {
    /// Notes a link that is being opened, unless there is one. Returns the queue of its frames.
    pub fn open(&self, address: SocketAddr) -> Option<Receiver<Bytes>> {
        let mut links = lock(&self.links);
        if links.contains_key(&address) {
            return None;
        }
        let (frames, queue) = async_channel::bounded(WAITING_FRAMES);
        links.insert(address, frames);
        Some(queue)
    }

    /// Forgets links that broke or aren't wanted any more. Returns the addresses of those left.
    pub fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) -> HashSet<SocketAddr> {
        let mut links = lock(&self.links);
        links.retain(|address, frames| wanted(address) && !frames.is_closed());
        links.keys().copied().collect()
    }

    /// Whether there is a link to a peer, or one is being opened; what is sent there waits for it.
    pub fn has(&self, address: SocketAddr) -> bool {
        lock(&self.links).contains_key(&address)
    }

    /// Sends a frame over some links.
    ///
    /// # Errors
    /// [`EncodeFault`].
    pub fn send(&self, to: &[SocketAddr], frame: &Frame) -> Result<(), EncodeFault> {
        let bytes = encode_frame(frame)?;
        let mut links = lock(&self.links);
        for address in to {
            let is_full = links
                .get(address)
                .is_some_and(|frames| is_full(frames, &bytes));
            if is_full {
                // It is opened anew, and begins with all that the peer needs.
                links.remove(address);
            }
        }
        Ok(())
    }

    /// Sends a frame over all links.
    ///
    /// # Errors
    /// [`EncodeFault`].
    pub fn send_to_all(&self, frame: &Frame) -> Result<(), EncodeFault> {
        let bytes = encode_frame(frame)?;
        lock(&self.links).retain(|_, frames| !is_full(frames, &bytes));
        Ok(())
    }
}

fn is_full(frames: &Sender<Bytes>, bytes: &Bytes) -> bool {
    matches!(frames.try_send(bytes.clone()), Err(TrySendError::Full(_)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
