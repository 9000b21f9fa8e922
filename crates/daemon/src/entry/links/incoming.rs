//! Links that peers open, and what is heard on them.

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

/// Time for a peer that has connected to open its link, in ms.
const OPENED_MS: u64 = 800;
/// Silence after which a link that a peer opened is closed, in ms.
const SILENT_MS: u64 = 5_000;

/// Takes links that peers open, for ever.
pub async fn take_links(state: Arc<EntryState>, listener: TcpListener) {
    accept_all(state, listener, "links", take_link).await;
}

async fn take_link(state: Arc<EntryState>, stream: TcpStream) {
    // A connection that is closed already takes no options.
    if let Ok(stream) = GuardedStream::new(stream) {
        hear(&state, stream).await;
    }
}

async fn hear(state: &EntryState, stream: GuardedStream) {
    let clock = state.clock.as_ref();
    let accepted = accept_async_with_config(stream, Some(link_config()));
    let Some(Ok(mut socket)) = timeout(clock, OPENED_MS, accepted).await else {
        return;
    };
    let mut from = None;
    loop {
        let message = match timeout(clock, SILENT_MS, socket.next()).await {
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
        if let Some(from) = from {
            take_frame(state, from, frame);
        }
    }
}

fn take_frame(state: &EntryState, from: u64, mut frame: Frame) {
    if let Some(answer) = frame.placement_response.take() {
        state.links.placements.answered(&answer.job.clone(), answer);
    }
    if let Some(answer) = frame.permit_response.take() {
        state.links.permits.answered(&answer.number, answer);
    }
    let wants = frame.catch_up_request.take();
    let ask = frame.placement_request.take();
    let permit_ask = frame.permit_request.take();
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
    let lacking = wants.map(|wants| (wants.reply_to, serving.catch_up_response(now, &wants)));
    let placed = ask.map(|ask| (ask.reply_to, answer(&mut serving, now, &ask)));
    let granted = permit_ask.and_then(|ask| grant(&mut serving, now, &ask));
    drop(serving);
    state.note_published();
    state.metrics.note_told(changes.len());
    for change in &changes {
        state.log(&Decision::target(change, "peer"));
    }
    for (to, frame) in lacking.into_iter().chain(placed).chain(granted) {
        state.send(&[to], &frame);
    }
    if version != before {
        let source = "peer";
        state.log(&Decision::Configured { version, source });
    }
}

/// The answer to an ask for a permit, and where it goes.
fn grant(serving: &mut Serving, now: MonoMs, ask: &PermitRequest) -> Option<(SocketAddr, Frame)> {
    let permit_answer = serving.answer_permit_request(now, ask);
    let frame = Frame {
        permit_response: permit_answer,
        ..Frame::default()
    };
    Some((ask.reply_to?, frame))
}

fn answer(serving: &mut Serving, now: MonoMs, ask: &PlacementRequest) -> Frame {
    let placement = serving.choose_engines(now, ask.job, ask.group, &ask.prompt);
    Frame {
        placement_response: Some(PlacementResponse {
            job: ask.job,
            placement,
        }),
        ..Frame::default()
    }
}
