//! Opens a link to a peer and sends frames on it.

use {
    super::encode_frame,
    crate::{
        clock::timeout,
        entry::{decision_line::Decision, entry_state::EntryState},
        peers::link_config,
        targets::{GuardedStream, connect_within},
    },
    async_channel::Receiver,
    async_tungstenite::{
        WebSocketStream, client_async_with_config,
        tungstenite::{Bytes, Message},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    whinlatch_serving::fleet::Frame,
};

/// Timeout for opening a link, in ms.
const OPEN_TIMEOUT_MS: u64 = 800;
/// The same while an instance starts, in ms: some fifty network crossings.
///
/// Guards against peers that start at the same time: a packet to a peer that isn't up yet is dropped and
/// retransmitted only after a second. With the usual timeout, instances that had all restarted discovered each
/// other 1.3 s later, and 44 of 66 prompts of the first 250 ms began late; with this one, 15.
const STARTING_OPEN_TIMEOUT_MS: u64 = 150;
/// Timeout for sending a frame, in ms.
const SEND_TIMEOUT_MS: u64 = 1_000;
/// Time that a frame may stay unacknowledged: a silent link is closed while most instances still count
/// the peer as live.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a link that broke or failed to open may be opened again, in ms.
const REOPEN_DELAY_MS: u64 = 300;
/// The same while an instance starts, in ms.
const STARTING_REOPEN_DELAY_MS: u64 = 50;

/// Timeout and retry delay for opening links, which are shorter while an instance starts.
#[derive(Debug, Clone, Copy)]
struct OpenTimes {
    open_timeout_ms: u64,
    reopen_delay_ms: u64,
}

impl OpenTimes {
    fn current(state: &EntryState) -> Self {
        if state.is_starting() {
            return Self {
                open_timeout_ms: STARTING_OPEN_TIMEOUT_MS,
                reopen_delay_ms: STARTING_REOPEN_DELAY_MS,
            };
        }
        Self {
            open_timeout_ms: OPEN_TIMEOUT_MS,
            reopen_delay_ms: REOPEN_DELAY_MS,
        }
    }
}

/// Opens a link and sends on it until it breaks or is no longer needed. Dropping the queue's receiver at
/// the end allows the link to be opened again.
pub async fn keep_link(
    state: Arc<EntryState>,
    address: SocketAddr,
    first: Frame,
    queue: Receiver<Bytes>,
) {
    let clock = state.clock.as_ref();
    let times = OpenTimes::current(&state);
    let opened = timeout(clock, times.open_timeout_ms, open(&state, address)).await;
    let Some(Ok(mut socket)) = opened else {
        state.serving().on_link_lost(state.now(), address);
        clock.sleep(times.reopen_delay_ms).await;
        return;
    };
    let peer = address.to_string();
    state.metrics.record_link_opened();
    state.log(&Decision::PeerLinked { peer: peer.clone() });
    let fault = send_all(&state, &mut socket, first, &queue).await;
    state.metrics.record_link_closed();
    let fault = match fault {
        None => "the link is no longer needed".to_owned(),
        Some(fault) => {
            state.serving().on_link_lost(state.now(), address);
            fault
        }
    };
    state.log(&Decision::PeerLost { peer, fault });
    queue.close();
    clock.sleep(times.reopen_delay_ms).await;
}

async fn open(
    state: &EntryState,
    address: SocketAddr,
) -> Result<WebSocketStream<GuardedStream>, String> {
    let clock = state.clock.as_ref();
    let stream = connect_within(clock, address, OPEN_TIMEOUT_MS, UNACKNOWLEDGED_TIMEOUT)
        .await
        .map_err(|fault| fault.to_string())?;
    let url = format!("ws://{address}/");
    client_async_with_config(url, stream, Some(link_config()))
        .await
        .map(|(socket, _response)| socket)
        .map_err(|fault| fault.to_string())
}

/// Sends `first` and the queued frames. Returns the error if the link breaks, `None` once it is no longer
/// needed.
async fn send_all(
    state: &EntryState,
    socket: &mut WebSocketStream<GuardedStream>,
    first: Frame,
    queue: &Receiver<Bytes>,
) -> Option<String> {
    let mut next = match encode_frame(&first) {
        Ok(bytes) => {
            let kind = first.kind().name();
            state.metrics.record_frames(kind, 1, bytes.len() as u64);
            Some(bytes)
        }
        Err(fault) => return Some(fault.to_string()),
    };
    while let Some(bytes) = next {
        let sent = socket.send(Message::Binary(bytes));
        match timeout(state.clock.as_ref(), SEND_TIMEOUT_MS, sent).await {
            Some(Ok(())) => {}
            Some(Err(fault)) => return Some(fault.to_string()),
            None => return Some("the peer doesn't read from the link".to_owned()),
        }
        next = queue.recv().await.ok();
    }
    None
}
