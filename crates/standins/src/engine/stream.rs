use {
    super::{
        group::{group_tokens, watch_group},
        state::FakeEngine,
        work::Event,
    },
    crate::{
        http::{Answer, Fault, refuse},
        standin::{Connection, Server},
        target::AnswerFault,
    },
    async_channel::Receiver,
    async_std::task,
    futures::{TryStreamExt, future, stream},
    http_types::{Body, Response, StatusCode},
    std::{io, sync::Arc, time::Instant},
    whinlatch_wire::{
        ids::AttemptId,
        target::{GenerateRequest, RefusalReason, StreamChunk},
    },
};

/// Runs a prompt; answers when it has begun or never will.
pub async fn generate(
    server: &Arc<Server<FakeEngine>>,
    request: GenerateRequest,
    connection: Arc<Connection>,
) -> Answer {
    let (attempt, group) = (request.attempt, request.group.clone());
    let submitted = match group_tokens(&group).await {
        Some(tokens) => server.state().submit(Instant::now(), request, tokens),
        None => Err(RefusalReason::Invalid),
    };
    let events = match submitted {
        Ok(events) => events,
        Err(reason) => return server.refuse_attempt(attempt, reason),
    };
    if !group.is_empty() {
        task::spawn(watch_group(Arc::downgrade(server), attempt, group));
    }
    server.changed.notify();
    match events.recv().await {
        Ok(Event::Begun(AnswerFault::Lost)) => {
            while events.recv().await.is_ok() {}
            Err(Fault::BrokenOff)
        }
        Ok(Event::Begun(fault)) => {
            let sending = Sending {
                attempt,
                events,
                fault,
                connection,
                sent: 0,
                ended: false,
            };
            Ok(sending.into_response())
        }
        Ok(Event::Refused(reason)) => server.refuse_attempt(attempt, reason),
        Ok(Event::Chunk(_)) | Err(_) => Err(Fault::BrokenOff),
    }
}

impl Server<FakeEngine> {
    pub fn refuse_attempt(&self, attempt: AttemptId, reason: RefusalReason) -> Answer {
        *self
            .state()
            .common
            .counted
            .refusals
            .entry(reason)
            .or_default() += 1;
        refuse(attempt, reason)
    }
}

/// What is left to send of an answer. Dropped with its connection, it ends its request.
struct Sending {
    attempt: AttemptId,
    events: Receiver<Event>,
    fault: AnswerFault,
    connection: Arc<Connection>,
    sent: u64,
    ended: bool,
}

impl Sending {
    fn into_response(self) -> Response {
        let pieces = stream::try_unfold(self, |mut sending| async move {
            let chunk = sending.next().await?;
            Ok::<_, io::Error>(chunk.map(|chunk| (chunk, sending)))
        });
        let events = pieces.and_then(|chunk: StreamChunk| async move {
            Ok(format!("data: {}\n\n", serde_json::to_string(&chunk)?))
        });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(Box::pin(events).into_async_read(), None));
        response.insert_header("content-type", "text/event-stream");
        response
    }

    async fn next(&mut self) -> io::Result<Option<StreamChunk>> {
        match self.fault {
            _ if self.ended => return Ok(None),
            AnswerFault::BreakAfter(chunks) if chunks == self.sent => return Err(broken_off()),
            AnswerFault::SilentAfter(chunks) if chunks == self.sent => future::pending().await,
            AnswerFault::Crossed if self.sent == 0 => {
                self.fault = AnswerFault::None;
                return Ok(Some(crossed_chunk(self.attempt)));
            }
            _ => {}
        }
        let Ok(Event::Chunk(chunk)) = self.events.recv().await else {
            return Err(broken_off());
        };
        self.connection.pass().await;
        self.sent += 1;
        self.ended = chunk.end;
        Ok(Some(chunk))
    }
}

/// A chunk that belongs to another attempt than this one.
fn crossed_chunk(attempt: AttemptId) -> StreamChunk {
    StreamChunk {
        attempt: AttemptId(!attempt.0),
        sequence: 0,
        text: "of another attempt ".to_owned(),
        tokens: 1,
        end: true,
    }
}

fn broken_off() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
