use {
    super::{
        MAX_ANSWER_BYTES,
        attempt::{AttemptWork, Step, refused_event},
        generate::send,
        liveness::{ConnectionLost, Liveness},
        read_body,
    },
    crate::shared::Shared,
    async_channel::Sender,
    http_types::StatusCode,
    whinlatch_core::{AttemptEvent, Dispatch},
    whinlatch_wire::target::{CALL_PATH, ServiceAnswer, ServiceCall},
};

/// Calls a plain service and emits its complete answer as a step.
pub async fn run(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &AttemptWork,
    steps: &Sender<Step>,
) -> Result<(), AttemptEvent> {
    let answered = Box::pin(answer(shared, dispatch, work));
    let answer = Liveness::new(shared, dispatch, false, steps)
        .watch(answered)
        .await
        .map_err(|ConnectionLost| AttemptEvent::Broken { chunks: 0 })??;
    let _abandoned = steps.send(Step::Answer(answer)).await;
    Ok(())
}

async fn answer(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &AttemptWork,
) -> Result<ServiceAnswer, AttemptEvent> {
    const BROKEN: AttemptEvent = AttemptEvent::Broken { chunks: 0 };
    let body = body(shared, dispatch, work)?;
    let mut response = send(shared, dispatch, CALL_PATH, &body).await?;
    if response.status() != StatusCode::Ok {
        return Err(refused_event(dispatch.attempt, response).await);
    }
    let body = read_body(&mut response, MAX_ANSWER_BYTES)
        .await
        .map_err(|_broken| BROKEN)?;
    let answer: ServiceAnswer = serde_json::from_slice(&body).map_err(|_not_an_answer| BROKEN)?;
    if answer.attempt != dispatch.attempt {
        // An answer to another caller's call, sent late or on the wrong connection.
        shared.metrics.record_dropped_chunk();
        return Err(BROKEN);
    }
    Ok(answer)
}

fn body(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &AttemptWork,
) -> Result<ServiceCall, AttemptEvent> {
    let AttemptWork::Call {
        service,
        account,
        body,
    } = work
    else {
        return Err(AttemptEvent::NotSent);
    };
    Ok(ServiceCall {
        attempt: dispatch.attempt,
        owner: shared.incarnation,
        expect_incarnation: dispatch.expect_incarnation,
        deadline_ms: dispatch.deadline.since(shared.clock.now()),
        service: service.clone(),
        account: account.clone(),
        body: body.clone(),
    })
}
