use {
    super::{
        Shared,
        faults::AnswerFault,
        group::{group_tokens, watch_group},
        work::{Event, crossed_chunk},
    },
    crate::{
        http::{Answer, Fault},
        server::Connection,
        signal::lock,
        target::refuse,
    },
    async_channel::Receiver,
    futures::{TryStreamExt, future, stream},
    http_types::{Body, Response, StatusCode},
    std::{io, sync::Arc, time::Instant},
    whinlatch_wire::{
        ids::AttemptId,
        target::{GenerateRequest, RefusalReason, StreamChunk},
    },
};

impl Shared {
    /// Runs a prompt; answers when it has begun or never will.
    pub async fn generate(
        self: &Arc<Self>,
        request: GenerateRequest,
        connection: Arc<Connection>,
    ) -> Answer {
        let attempt = request.attempt;
        let Some(group_tokens) = group_tokens(&request.group).await else {
            return refuse(attempt, RefusalReason::Invalid);
        };
        let watched = (!request.group.is_empty()).then(|| request.clone());
        let submitted = lock(&self.state).submit(Instant::now(), request, group_tokens);
        let events = match submitted {
            Ok(events) => events,
            Err(reason) => return refuse(attempt, reason),
        };
        if let Some(request) = watched {
            watch_group(self, &request);
        }
        self.wake.notify();
        match events.recv().await {
            Ok(Event::Begun(AnswerFault::Lost)) => {
                while events.recv().await.is_ok() {}
                Err(Fault::BrokenOff)
            }
            Ok(Event::Begun(fault)) => Ok(streamed(attempt, events, fault, connection)),
            Ok(Event::Refused(reason)) => refuse(attempt, reason),
            Ok(Event::Chunk(_)) | Err(_) => Err(Fault::BrokenOff),
        }
    }
}

/// What is left to send of an answer.
struct Sending {
    attempt: AttemptId,
    events: Receiver<Event>,
    fault: AnswerFault,
    connection: Arc<Connection>,
    sent: u64,
    ended: bool,
}

fn streamed(
    attempt: AttemptId,
    events: Receiver<Event>,
    fault: AnswerFault,
    connection: Arc<Connection>,
) -> Response {
    let sending = Sending {
        attempt,
        events,
        fault,
        connection,
        sent: 0,
        ended: false,
    };
    let pieces = stream::try_unfold(sending, |mut sending| async move {
        let piece = sending.next().await?;
        Ok(piece.map(|piece| (piece, sending)))
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Box::pin(pieces).into_async_read(), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

impl Sending {
    async fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        if self.ended {
            return Ok(None);
        }
        if self.fault == AnswerFault::BreakAfter(self.sent) {
            return Err(broken_off());
        }
        if self.fault == AnswerFault::SilentAfter(self.sent) {
            future::pending::<()>().await;
        }
        if self.fault == AnswerFault::Crossed {
            self.fault = AnswerFault::None;
            return Ok(Some(event(&crossed_chunk(self.attempt))?));
        }
        let Ok(Event::Chunk(chunk)) = self.events.recv().await else {
            return Err(broken_off());
        };
        self.connection.pass().await;
        self.sent += 1;
        self.ended = chunk.end;
        Ok(Some(event(&chunk)?))
    }
}

fn broken_off() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "broken off")
}

fn event(chunk: &StreamChunk) -> io::Result<Vec<u8>> {
    Ok(format!("data: {}\n\n", serde_json::to_string(chunk)?).into_bytes())
}
