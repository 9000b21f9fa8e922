use {
    crate::entry::entry_state::EntryState,
    whinlatch_serving::{ForwardPeer, names::ServiceName},
};

/// Counts a request as forwarded to a peer until dropped.
#[derive(Debug)]
pub struct ForwardGuard<'a> {
    state: &'a EntryState,
    peer: ForwardPeer,
}

impl<'a> ForwardGuard<'a> {
    /// Takes over a request for which a peer was chosen.
    pub fn new(state: &'a EntryState, peer: ForwardPeer) -> Self {
        Self { state, peer }
    }

    /// Returns the peer.
    pub fn peer(&self) -> &ForwardPeer {
        &self.peer
    }
}

impl Drop for ForwardGuard<'_> {
    fn drop(&mut self) {
        self.state
            .serving()
            .record_forward_ended(self.peer.peer_address);
    }
}

/// Counts a request that a peer has forwarded to this instance until dropped.
#[derive(Debug)]
pub struct TakenForward<'a> {
    state: &'a EntryState,
}

impl<'a> TakenForward<'a> {
    /// Takes a request that a peer has forwarded.
    ///
    /// # Errors
    /// The reason for which this instance doesn't take it; it has not run.
    pub fn take(state: &'a EntryState, note: &super::ForwardNote) -> Result<Self, &'static str> {
        let mut serving = state.serving();
        if note.run != serving.own_run() {
            return Err("another instance is meant");
        }
        if serving.version() < note.version {
            return Err("this instance doesn't know the configuration yet");
        }
        if !serving.is_ready() {
            return Err("this instance isn't ready");
        }
        if serving.is_out_of_reach(&ServiceName::from(note.service.as_str())) {
            return Err("this instance reaches no target of the service");
        }
        if !serving.take_forward() {
            return Err("this instance serves as many requests of peers as it can");
        }
        drop(serving);
        Ok(Self { state })
    }
}

impl Drop for TakenForward<'_> {
    fn drop(&mut self) {
        self.state.serving().record_taken_forward_ended();
    }
}
