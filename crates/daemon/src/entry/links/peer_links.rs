use {
    super::frame_codec::{EncodeFault, encode_frame},
    async_channel::{Receiver, Sender, TrySendError},
    async_tungstenite::tungstenite::Bytes,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
    },
    whinlatch_serving::fleet::{Frame, JobId, PlacementAnswer},
};

/// Frames that may wait for a slow peer; the link is opened anew when there are more.
const WAITING_FRAMES: usize = 256;

/// The open links to peers, and the answers that are awaited from them.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<HashMap<SocketAddr, Sender<Bytes>>>,
    asks: Mutex<HashMap<JobId, Sender<PlacementAnswer>>>,
}

/// An answer that is awaited; no longer, once this is dropped.
#[derive(Debug)]
pub struct AwaitedAnswer<'a> {
    links: &'a PeerLinks,
    job: JobId,
    /// Where the answer comes.
    pub answer: Receiver<PlacementAnswer>,
}

impl Drop for AwaitedAnswer<'_> {
    fn drop(&mut self) {
        lock(&self.links.asks).remove(&self.job);
    }
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

    /// Begins to wait for the answer to an ask.
    pub fn await_answer(&self, job: JobId) -> AwaitedAnswer<'_> {
        let (sender, answer) = async_channel::bounded(1);
        lock(&self.asks).insert(job, sender);
        AwaitedAnswer {
            links: self,
            job,
            answer,
        }
    }

    /// Hands on an answer; nobody may wait for it any more.
    pub fn answered(&self, answer: PlacementAnswer) {
        if let Some(sender) = lock(&self.asks).remove(&answer.job) {
            let _late = sender.try_send(answer);
        }
    }
}

fn is_full(frames: &Sender<Bytes>, bytes: &Bytes) -> bool {
    matches!(frames.try_send(bytes.clone()), Err(TrySendError::Full(_)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
