use {
    super::{
        frame_codec::{EncodeFault, encode_frame},
        pending_requests::PendingRequests,
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

/// Limit for the frames queued for a slow peer. A link whose queue is full is closed and opened again.
const MAX_QUEUED_FRAMES: usize = 256;

/// Frames that were queued, for the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Queued {
    /// Number of frames.
    pub frames: u64,
    /// Size of all of them, in bytes.
    pub bytes: u64,
}

impl Queued {
    fn of(frames: usize, frame_bytes: usize) -> Self {
        let frames = frames as u64;
        Self {
            frames,
            bytes: frames * frame_bytes as u64,
        }
    }
}

/// Outgoing links to peers, and the requests that wait for their responses.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<HashMap<SocketAddr, Sender<Bytes>>>,
    /// Placement requests to peers.
    pub placements: PendingRequests<JobId, PlacementResponse>,
    /// Permit requests to peers, by their number.
    pub permits: PendingRequests<u64, PermitResponse>,
}

impl PeerLinks {
    /// Registers a link that is to be opened, and returns its queue of frames; `None` if there is one already.
    pub fn open(&self, address: SocketAddr) -> Option<Receiver<Bytes>> {
        let mut links = lock(&self.links);
        if links.contains_key(&address) {
            return None;
        }
        let (frames, queue) = async_channel::bounded(MAX_QUEUED_FRAMES);
        links.insert(address, frames);
        Some(queue)
    }

    /// Removes links that broke or aren't `wanted`. Returns the addresses of the others.
    pub fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) -> HashSet<SocketAddr> {
        let mut links = lock(&self.links);
        links.retain(|address, frames| wanted(address) && !frames.is_closed());
        links.keys().copied().collect()
    }

    /// Returns whether a link to a peer is open or being opened; frames are queued until it is open.
    pub fn has(&self, address: SocketAddr) -> bool {
        lock(&self.links).contains_key(&address)
    }

    /// Queues a frame on the links to the given peers; peers without a link are skipped. Returns what was queued.
    ///
    /// # Errors
    /// [`EncodeFault`].
    pub fn send(&self, to: &[SocketAddr], frame: &Frame) -> Result<Queued, EncodeFault> {
        let bytes = encode_frame(frame)?;
        let mut links = lock(&self.links);
        let mut queued = 0;
        for address in to {
            let Some(frames) = links.get(address) else {
                continue;
            };
            if enqueue_overflows(frames, &bytes) {
                // It is opened again, and begins with the state that the peer needs.
                links.remove(address);
            } else {
                queued += 1;
            }
        }
        Ok(Queued::of(queued, bytes.len()))
    }

    /// Queues a frame on all links. Returns what was queued.
    ///
    /// # Errors
    /// [`EncodeFault`].
    pub fn send_to_all(&self, frame: &Frame) -> Result<Queued, EncodeFault> {
        let bytes = encode_frame(frame)?;
        let mut links = lock(&self.links);
        links.retain(|_, frames| !enqueue_overflows(frames, &bytes));
        Ok(Queued::of(links.len(), bytes.len()))
    }
}

/// Queues a frame. Returns whether the queue was full, in which case the frame is dropped.
fn enqueue_overflows(frames: &Sender<Bytes>, bytes: &Bytes) -> bool {
    matches!(frames.try_send(bytes.clone()), Err(TrySendError::Full(_)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
