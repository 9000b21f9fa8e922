//! A link that this instance opens, and on which it sends.

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

/// Time for a link to open, in ms.
const OPEN_MS: u64 = 800;
/// The same while an instance starts, in ms: some fifty crossings of the network.
///
/// Guards against peers that start at the same moment: what is sent to one that isn't up yet is
/// dropped, and sent again only after a second. Instances that all started anew learnt of each other
/// 1.3 s later, and of 66 prompts of the first quarter of a second 44 began late; with this, 15.
const STARTING_OPEN_MS: u64 = 150;
/// Time for a peer to take a frame, in ms.
const SEND_MS: u64 = 1_000;
/// Time that a frame may stay without an acknowledgement: a link that went silent is given up
/// while the peer still counts as heard of by most.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);
/// Time between two tries to open a link, in ms.
const REOPEN_MS: u64 = 300;
/// The same while an instance starts, in ms.
const STARTING_REOPEN_MS: u64 = 50;

/// How links are opened.
#[derive(Debug, Clone, Copy)]
struct OpenRule {
    open_ms: u64,
    reopen_ms: u64,
}

impl OpenRule {
    fn of(state: &EntryState) -> Self {
        if state.is_starting() {
            return Self {
                open_ms: STARTING_OPEN_MS,
                reopen_ms: STARTING_REOPEN_MS,
            };
        }
        Self {
            open_ms: OPEN_MS,
            reopen_ms: REOPEN_MS,
        }
    }
}

/// Opens a link and sends on it until it breaks or isn't wanted any more. The end of the queue's
/// receiver tells that it may be opened anew.
pub async fn keep_link(
    state: Arc<EntryState>,
    address: SocketAddr,
    first: Frame,
    queue: Receiver<Bytes>,
) {
    let clock = state.clock.as_ref();
    let rule = OpenRule::of(&state);
    let opened = timeout(clock, rule.open_ms, open(&state, address)).await;
    let Some(Ok(mut socket)) = opened else {
        state.serving().on_link_lost(state.now(), address);
        clock.sleep(rule.reopen_ms).await;
        return;
    };
    let peer = address.to_string();
    state.metrics.note_linked();
    state.log(&Decision::PeerLinked { peer: peer.clone() });
    let fault = send_all(&state, &mut socket, first, &queue).await;
    state.metrics.note_unlinked();
    let fault = match fault {
        None => "the link isn't wanted any more".to_owned(),
        Some(fault) => {
            state.serving().on_link_lost(state.now(), address);
            fault
        }
    };
    state.log(&Decision::PeerLost { peer, fault });
    queue.close();
    clock.sleep(rule.reopen_ms).await;
}

async fn open(
    state: &EntryState,
    address: SocketAddr,
) -> Result<WebSocketStream<GuardedStream>, String> {
    let clock = state.clock.as_ref();
    let stream = connect_within(clock, address, OPEN_MS, UNACKNOWLEDGED)
        .await
        .map_err(|fault| fault.to_string())?;
    let url = format!("ws://{address}/");
    client_async_with_config(url, stream, Some(link_config()))
        .await
        .map(|(socket, _response)| socket)
        .map_err(|fault| fault.to_string())
}

/// Sends until the link breaks, and returns why, or isn't wanted any more.
async fn send_all(
    state: &EntryState,
    socket: &mut WebSocketStream<GuardedStream>,
    first: Frame,
    queue: &Receiver<Bytes>,
) -> Option<String> {
    let mut next = match encode_frame(&first) {
        Ok(bytes) => Some(bytes),
        Err(fault) => return Some(fault.to_string()),
    };
    while let Some(bytes) = next {
        let sent = socket.send(Message::Binary(bytes));
        match timeout(state.clock.as_ref(), SEND_MS, sent).await {
            Some(Ok(())) => {}
            Some(Err(fault)) => return Some(fault.to_string()),
            None => return Some("the peer takes nothing".to_owned()),
        }
        next = queue.recv().await.ok();
    }
    None
}
