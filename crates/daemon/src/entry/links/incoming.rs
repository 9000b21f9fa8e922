//! Accepts the links that peers open, and applies the frames that arrive on them.

use {
    super::decode_frame,
    crate::{
        clock::timeout,
        entry::{accept::accept_all, decision_line::Decision, entry_state::EntryState},
        peers::link_config,
        targets::GuardedStream,
    },
    async_std::net::{TcpListener, TcpStream},
    async_tungstenite::{
        accept_async_with_config,
        tungstenite::{Error, Message},
    },
    futures::StreamExt,
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::read_configuration,
    whinlatch_serving::{
        Serving,
        fleet::{Frame, PlacementRequest, PlacementResponse},
        quotas::PermitRequest,
    },
};

/// Timeout for the WebSocket handshake of a peer that has connected, in ms.
const HANDSHAKE_TIMEOUT_MS: u64 = 800;
/// Time without a frame after which an incoming link is closed, in ms.
const SILENCE_TIMEOUT_MS: u64 = 5_000;

/// Accepts links from peers forever.
pub async fn accept_links(state: Arc<EntryState>, listener: TcpListener) {
    accept_all(state, listener, "links", serve_link).await;
}

async fn serve_link(state: Arc<EntryState>, stream: TcpStream) {
    // Setting options fails if the connection is already closed.
    if let Ok(stream) = GuardedStream::new(stream) {
        receive_frames(&state, stream).await;
    }
}

async fn receive_frames(state: &EntryState, stream: GuardedStream) {
    let clock = state.clock.as_ref();
    let accepted = accept_async_with_config(stream, Some(link_config()));
    let Some(Ok(mut socket)) = timeout(clock, HANDSHAKE_TIMEOUT_MS, accepted).await else {
        return;
    };
    let mut from = None;
    loop {
        let message = match timeout(clock, SILENCE_TIMEOUT_MS, socket.next()).await {
            Some(Some(Ok(message))) => message,
            Some(Some(Err(Error::Capacity(fault)))) => {
                state.log(&Decision::Unreadable {
                    fault: format!("a frame of a peer: {fault}"),
                });
                return;
            }
            _silent_or_closed => return,
        };
        let Message::Binary(bytes) = message else {
            continue;
        };
        let frame = match decode_frame(&bytes) {
            Ok(frame) => frame,
            Err(fault) => {
                let fault = fault.to_string();
                state.log(&Decision::Unreadable { fault });
                return;
            }
        };
        from = frame.member.as_ref().map(|member| member.run).or(from);
        // Frames are ignored until the peer has named its run in one.
        if let Some(from) = from {
            apply_frame(state, from, frame);
        }
    }
}

/// Applies a frame of the peer whose run is `from`, logs what it changes and sends the responses to its requests.
fn apply_frame(state: &EntryState, from: u64, mut frame: Frame) {
    if let Some(response) = frame.placement_response.take() {
        state
            .links
            .placements
            .complete(&response.job.clone(), response);
    }
    if let Some(response) = frame.permit_response.take() {
        state.links.permits.complete(&response.number, response);
    }
    let catch_up = frame.catch_up_request.take();
    let placement_request = frame.placement_request.take();
    let permit_request = frame.permit_request.take();
    let now = state.now();
    let mut serving = state.serving();
    let before = serving.version();
    let changes = serving.on_frame(now, from, frame, |text| {
        let read = read_configuration(text);
        read.map_err(|fault| {
            let fault = fault.to_string();
            state.log(&Decision::Unreadable { fault });
        })
        .ok()
    });
    let version = serving.version();
    let catch_up_response =
        catch_up.map(|request| (request.reply_to, serving.catch_up_response(now, &request)));
    let placement_response = placement_request.map(|request| {
        (
            request.reply_to,
            answer_placement_request(&mut serving, now, &request),
        )
    });
    let permit_response =
        permit_request.and_then(|request| answer_permit_request(&mut serving, now, &request));
    drop(serving);
    state.notify_if_ready();
    state.metrics.record_peer_changes(changes.targets.len());
    for change in &changes.targets {
        state.log(&Decision::target(change, "peer"));
    }
    for change in &changes.evacuations {
        state.log_evacuation(change, "peer");
    }
    for (to, frame) in catch_up_response
        .into_iter()
        .chain(placement_response)
        .chain(permit_response)
    {
        state.send(&[to], &frame);
    }
    if version != before {
        let source = "peer";
        state.log(&Decision::Configured { version, source });
    }
}

/// Returns the response to a permit request and its recipient; `None` if the request expects no response.
fn answer_permit_request(
    serving: &mut Serving,
    now: MonoMs,
    request: &PermitRequest,
) -> Option<(SocketAddr, Frame)> {
    let permit_response = serving.answer_permit_request(now, request);
    let frame = Frame {
        permit_response,
        ..Frame::default()
    };
    Some((request.reply_to?, frame))
}

fn answer_placement_request(
    serving: &mut Serving,
    now: MonoMs,
    request: &PlacementRequest,
) -> Frame {
    let placement = serving.choose_engines(now, request.job, request.group, &request.prompt);
    Frame {
        placement_response: Some(PlacementResponse {
            job: request.job,
            placement,
        }),
        ..Frame::default()
    }
}
