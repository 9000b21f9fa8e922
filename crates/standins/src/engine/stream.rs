use {
    super::{
        group::{group_tokens, watch_group},
        state::FakeEngine,
        work::RequestEvent,
    },
    crate::{
        http::{HandlerError, HandlerResult, refuse},
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

/// Runs a prompt. Answers when it has started or been refused.
pub async fn generate(
    server: &Arc<Server<FakeEngine>>,
    request: GenerateRequest,
    connection: Arc<Connection>,
) -> HandlerResult {
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
        Ok(RequestEvent::Started(AnswerFault::Lost)) => {
            while events.recv().await.is_ok() {}
            Err(HandlerError::CloseConnection)
        }
        Ok(RequestEvent::Started(fault)) => {
            let answer = AnswerStream {
                attempt,
                events,
                fault,
                connection,
                sent: 0,
                ended: false,
            };
            Ok(answer.into_response())
        }
        Ok(RequestEvent::Refused(reason)) => server.refuse_attempt(attempt, reason),
        Ok(RequestEvent::Chunk(_)) | Err(_) => Err(HandlerError::CloseConnection),
    }
}

impl Server<FakeEngine> {
    pub fn refuse_attempt(&self, attempt: AttemptId, reason: RefusalReason) -> HandlerResult {
        *self
            .state()
            .common
            .stats
            .refusals
            .entry(reason)
            .or_default() += 1;
        refuse(attempt, reason)
    }
}

/// Rest of an answer that is being streamed. It is dropped with its connection, which ends the request.
struct AnswerStream {
    attempt: AttemptId,
    events: Receiver<RequestEvent>,
    fault: AnswerFault,
    connection: Arc<Connection>,
    sent: u64,
    ended: bool,
}

impl AnswerStream {
    fn into_response(self) -> Response {
        let chunks = stream::try_unfold(self, |mut answer| async move {
            let chunk = answer.next().await?;
            Ok::<_, io::Error>(chunk.map(|chunk| (chunk, answer)))
        });
        let events = chunks.and_then(|chunk: StreamChunk| async move {
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
            AnswerFault::BreakAfter(limit) if limit == self.sent => {
                return Err(connection_aborted());
            }
            AnswerFault::SilentAfter(limit) if limit == self.sent => future::pending().await,
            AnswerFault::Crossed if self.sent == 0 => {
                self.fault = AnswerFault::None;
                return Ok(Some(crossed_chunk(self.attempt)));
            }
            _ => {}
        }
        let Ok(RequestEvent::Chunk(chunk)) = self.events.recv().await else {
            return Err(connection_aborted());
        };
        self.connection.wait_while_blocked().await;
        self.sent += 1;
        self.ended = chunk.end;
        Ok(Some(chunk))
    }
}

/// Returns a chunk of another attempt, for [`AnswerFault::Crossed`].
fn crossed_chunk(attempt: AttemptId) -> StreamChunk {
    StreamChunk {
        attempt: AttemptId(!attempt.0),
        sequence: 0,
        text: "of another attempt ".to_owned(),
        tokens: 1,
        end: true,
    }
}

fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
