use {
    super::{
        handshake::{HandshakeError, initiate, respond},
        outgoing::{LinkReceiver, LinkSender, link_config, receive_frame, send_frame},
    },
    crate::{
        clock::timeout,
        control::{ControlMessage, LinkId},
        entropy::random_u64,
        shared::Shared,
        targets::{GuardedStream, connect},
    },
    async_channel::Receiver,
    async_tungstenite::{accept_async_with_config, client_async_with_config},
    futures::{StreamExt, future::select, pin_mut},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::Event,
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, PeerFrame},
    },
};

/// Time for a connection and its handshake, in ms.
const HANDSHAKE_TIMEOUT_MS: u64 = 3_000;
/// Time without a frame after which a link is closed, in ms: six heartbeat intervals.
const RECEIVE_TIMEOUT_MS: u64 = 3_000;
/// Time for a frame to be written, in ms.
const SEND_TIMEOUT_MS: u64 = 3_000;
/// Frames queued for a slow peer.
const FRAME_QUEUE_LEN: usize = 256;

/// Opens a link and runs it until it closes.
pub async fn open_link(shared: Arc<Shared>, address: SocketAddr) {
    let opened = timeout(
        shared.clock.as_ref(),
        HANDSHAKE_TIMEOUT_MS,
        open(&shared, address),
    );
    match opened.await.unwrap_or(Err(HandshakeError::Broken)) {
        Ok((hello, halves)) => {
            let opened_by = shared.incarnation;
            run(&shared, hello, halves, (address, opened_by)).await;
        }
        Err(error) => {
            report_failure(&shared, &error, address);
            let event = Event::PeerDown {
                address,
                peer: None,
            };
            shared.control.send(ControlMessage::Event(event)).await;
        }
    }
}

/// Accepts a link that a peer opened, and runs it until it closes.
pub async fn accept_link(shared: Arc<Shared>, stream: GuardedStream, from: SocketAddr) {
    let accepted = timeout(
        shared.clock.as_ref(),
        HANDSHAKE_TIMEOUT_MS,
        accept(&shared, stream),
    );
    match accepted.await.unwrap_or(Err(HandshakeError::Broken)) {
        Ok((hello, halves)) => {
            let opened = (hello.peer_address, hello.incarnation);
            run(&shared, hello, halves, opened).await;
        }
        Err(error) => report_failure(&shared, &error, from),
    }
}

type Halves = (LinkSender, LinkReceiver);

async fn open(shared: &Shared, address: SocketAddr) -> Result<(Hello, Halves), HandshakeError> {
    let broken = HandshakeError::Broken;
    let Ok(stream) = connect(shared.clock.as_ref(), address).await else {
        return Err(broken);
    };
    let url = format!("ws://{address}/");
    let Ok((socket, _response)) = client_async_with_config(url, stream, Some(link_config())).await
    else {
        return Err(broken);
    };
    let (mut sender, mut receiver) = socket.split();
    let hello = initiate(shared, &mut sender, &mut receiver).await?;
    Ok((hello, (sender, receiver)))
}

async fn accept(shared: &Shared, stream: GuardedStream) -> Result<(Hello, Halves), HandshakeError> {
    let Ok(socket) = accept_async_with_config(stream, Some(link_config())).await else {
        return Err(HandshakeError::Broken);
    };
    let (mut sender, mut receiver) = socket.split();
    let hello = respond(shared, &mut sender, &mut receiver).await?;
    Ok((hello, (sender, receiver)))
}

fn report_failure(shared: &Shared, error: &HandshakeError, address: SocketAddr) {
    match error {
        HandshakeError::Broken => log::debug!("peers: no link to {address}: {error}"),
        HandshakeError::NoHello | HandshakeError::Itself | HandshakeError::Unproved => {
            shared.metrics.record_refused_link();
            log::warn!("peers: link with {address} refused: {error}");
        }
    }
}

/// Reports a link to the control thread, transfers its frames until it closes, and reports its end.
async fn run(
    shared: &Shared,
    hello: Hello,
    halves: Halves,
    (address, opened_by): (SocketAddr, Incarnation),
) {
    let link = LinkId(random_u64());
    let peer = hello.incarnation;
    let (frames, queue) = async_channel::bounded(FRAME_QUEUE_LEN);
    let up = ControlMessage::LinkUp {
        link,
        hello,
        opened_by,
        frames,
    };
    shared.control.send(up).await;
    let (sender, receiver) = halves;
    {
        let writing = write_frames(shared, sender, queue);
        let reading = read_frames(shared, receiver, link, peer);
        pin_mut!(writing, reading);
        select(writing, reading).await;
    }
    let down = ControlMessage::LinkDown {
        link,
        peer,
        address,
    };
    shared.control.send(down).await;
}

/// Writes queued frames until the control thread closes the link or a write times out.
async fn write_frames(shared: &Shared, mut sender: LinkSender, frames: Receiver<PeerFrame>) {
    while let Ok(frame) = frames.recv().await {
        let sent = send_frame(&mut sender, frame);
        match timeout(shared.clock.as_ref(), SEND_TIMEOUT_MS, sent).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return log::debug!("peers: {error}"),
            None => return,
        }
    }
}

/// Reads frames until the link fails or stays silent.
///
/// Guards against a link that goes silent for good while it stays open, and against a peer that
/// hangs: both sides send heartbeats, so a link without a frame for [`RECEIVE_TIMEOUT_MS`] is closed.
async fn read_frames(shared: &Shared, mut receiver: LinkReceiver, link: LinkId, peer: Incarnation) {
    loop {
        let next = receive_frame(&mut receiver);
        let frame = match timeout(shared.clock.as_ref(), RECEIVE_TIMEOUT_MS, next).await {
            Some(Ok(frame)) => Box::new(frame),
            Some(Err(error)) => return log::debug!("peers: {error}"),
            None => return,
        };
        let message = ControlMessage::LinkFrame { link, peer, frame };
        shared.control.send(message).await;
    }
}
