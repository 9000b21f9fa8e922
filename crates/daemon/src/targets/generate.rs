use {
    super::{
        attempt::{AttemptWork, Step, refused_event},
        connect::connect,
        event_reader::EventReader,
        gate::Gate,
        json_call::{request, set_json},
        liveness::{ConnectionLost, Liveness},
    },
    crate::shared::Shared,
    async_channel::Sender,
    futures::FutureExt,
    http_types::{Method, Response, StatusCode},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{AttemptEvent, Dispatch},
    whinlatch_wire::target::{GENERATE_PATH, GenerateRequest, StreamChunk},
};

/// Sends a prompt and emits the chunks of its answer as steps, up to the one marked as the end.
pub async fn run(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &AttemptWork,
    first_chunk: u64,
    steps: &Sender<Step>,
) -> Result<(), AttemptEvent> {
    let mut liveness = Liveness::new(shared, dispatch, true, steps);
    let response = liveness
        .watch(send_prompt(shared, dispatch, work, first_chunk).boxed())
        .await
        .map_err(|ConnectionLost| AttemptEvent::Broken {
            chunks: first_chunk,
        })??;
    if response.status() != StatusCode::Ok {
        return Err(refused_event(dispatch.attempt, response).await);
    }
    read_chunks(
        shared,
        dispatch,
        response,
        first_chunk,
        &mut liveness,
        steps,
    )
    .await
}

/// Sends the prompt. The copy in the request body is dropped with the boxed future, so that it isn't
/// held while the answer is streamed: a prompt of a million tokens has 4 MB.
async fn send_prompt(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &AttemptWork,
    first_chunk: u64,
) -> Result<Response, AttemptEvent> {
    let body = body(shared, dispatch, work, first_chunk)?;
    send(shared, dispatch, GENERATE_PATH, &body).await
}

async fn read_chunks(
    shared: &Shared,
    dispatch: &Dispatch,
    response: Response,
    first_chunk: u64,
    liveness: &mut Liveness<'_>,
    steps: &Sender<Step>,
) -> Result<(), AttemptEvent> {
    let mut events = EventReader::new(response);
    let mut next = first_chunk;
    loop {
        let broken = AttemptEvent::Broken { chunks: next };
        let event = liveness
            .watch(events.next())
            .await
            .map_err(|ConnectionLost| AttemptEvent::Broken { chunks: next })?;
        let Ok(Some(data)) = event else {
            return Err(broken);
        };
        let Some(chunk) = own_chunk(data, dispatch, next) else {
            shared.metrics.record_dropped_chunk();
            continue;
        };
        next += 1;
        let end = chunk.end;
        if steps.send(Step::Chunk(chunk)).await.is_err() || end {
            return Ok(());
        }
    }
}

/// Parses a chunk; `None` if it isn't the next one of this attempt.
///
/// Guards against chunks that arrive late, twice, out of order, or on the connection of another
/// attempt. The target echoes the attempt's id and numbers its chunks, so a chunk that differs in
/// either is dropped.
fn own_chunk(data: &[u8], dispatch: &Dispatch, next: u64) -> Option<StreamChunk> {
    serde_json::from_slice::<StreamChunk>(data)
        .ok()
        .filter(|chunk| chunk.attempt == dispatch.attempt && chunk.sequence == next)
}

/// Sends the request of an attempt and reads the head of its answer. Fails with
/// [`AttemptEvent::NotSent`] or [`AttemptEvent::Stale`] only if no byte was written.
pub async fn send<T: serde::Serialize>(
    shared: &Shared,
    dispatch: &Dispatch,
    path: &str,
    body: &T,
) -> Result<Response, AttemptEvent> {
    let address: SocketAddr = dispatch.address;
    let mut request =
        request(Method::Post, address, path).map_err(|_bad_url| AttemptEvent::NotSent)?;
    set_json(&mut request, body).map_err(|_not_encoded| AttemptEvent::NotSent)?;
    request.insert_header("connection", "close");
    let stream = connect(shared.clock.as_ref(), address)
        .await
        .map_err(|_refused| AttemptEvent::NotSent)?;
    let gate = Gate::new(Arc::clone(&shared.clock), dispatch.send_before);
    async_h1::connect(gate.guard(stream), request)
        .await
        .map_err(|_broken| {
            if gate.may_have_sent() {
                AttemptEvent::Broken { chunks: 0 }
            } else if gate.is_closed() {
                AttemptEvent::Stale
            } else {
                AttemptEvent::NotSent
            }
        })
}

fn body(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &AttemptWork,
    first_chunk: u64,
) -> Result<GenerateRequest, AttemptEvent> {
    let AttemptWork::Prompt {
        completion,
        prompt_tokens,
        prefix_hashes,
    } = work
    else {
        return Err(AttemptEvent::NotSent);
    };
    Ok(GenerateRequest {
        attempt: dispatch.attempt,
        owner: shared.incarnation,
        expect_incarnation: dispatch.expect_incarnation,
        deadline_ms: dispatch.deadline.since(shared.clock.now()),
        priority: dispatch.priority,
        model: completion.model.clone(),
        adapter: completion.adapter.clone(),
        version: dispatch.version,
        prompt: completion.prompt.clone(),
        prompt_tokens: *prompt_tokens,
        prefix_hashes: prefix_hashes.clone(),
        max_tokens: completion.max_tokens,
        resume_after: first_chunk.checked_sub(1),
        reservation: dispatch.reservation,
        group: dispatch.group.clone(),
    })
}
