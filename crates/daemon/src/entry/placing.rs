//! Chooses the engines for a prompt: by a decider, a peer that knows of all prompts, or locally.

use {
    super::{
        engine_reports::read_occupancies, entry_state::EntryState, job_guard::JobGuard,
        permits::is_permitted,
    },
    crate::clock::timeout,
    std::net::SocketAddr,
    whinlatch_serving::{
        PromptPlacement, PromptRequest, Refusal,
        fleet::{EngineGroup, Frame, JobId, Placement, PlacementRequest},
        names::ServiceName,
    },
};

/// Timeout for a peer's decision, in ms: two network crossings, and the time that a small instance
/// takes to process it. After two timeouts the prompt still has most of its time.
const PLACEMENT_TIMEOUT_MS: u64 = 40;
/// Timeout for the reports of engines before a choice, in ms: some network crossings, and the time of new connections.
const ASK_TIMEOUT_MS: u64 = 30;
/// Deciders that are asked one after the other before this instance chooses from its own knowledge.
const MAX_ASKED_DECIDERS: usize = 2;

/// A retry that was taken from the budget. It is returned on drop unless it was used.
#[derive(Debug)]
struct TakenRetry<'a> {
    state: &'a EntryState,
    service: ServiceName,
    is_used: bool,
}

impl Drop for TakenRetry<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            let now = self.state.now();
            self.state.serving().return_retry(now, &self.service);
        }
    }
}

/// Chooses engines that permit a prompt, and counts it towards their load until the guard is dropped. A retry is taken
/// from the budget only if engines are chosen.
///
/// # Errors
/// A [`Refusal`]; the prompt has not been sent.
pub async fn place_prompt(
    state: &EntryState,
    mut request: PromptRequest,
) -> Result<(PromptPlacement, JobGuard<'_>), Refusal> {
    let mut retry = None;
    loop {
        let closed = state.serving().closed_targets(state.now());
        request.excluded.extend(closed);
        let (placement, guard) = match choose_engines(state, &request, &mut retry).await {
            Ok(chosen) => chosen,
            // The excluded targets include those closed to this instance, which may be why none was left.
            Err(Refusal::NoTarget) => {
                return Err(state
                    .serving()
                    .refusal_for_closed_targets(state.now(), &request.service));
            }
            Err(refusal) => return Err(refusal),
        };
        if is_permitted(state, &placement.engine.id).await {
            if let Some(retry) = &mut retry {
                retry.is_used = true;
            }
            return Ok((placement, guard));
        }
        // The retry was taken from the budget already.
        request.is_repeat = false;
    }
}

/// Chooses engines for a prompt and counts it towards their load until the guard is dropped. A retry that was taken from
/// the budget for it becomes `retry`, whether or not engines are chosen.
///
/// The guard is created before a peer is asked. Otherwise, if the caller disconnected while the peer
/// decides, the peer would count the prompt forever, since nobody would report its end.
async fn choose_engines<'a>(
    state: &'a EntryState,
    request: &PromptRequest,
    retry: &mut Option<TakenRetry<'a>>,
) -> Result<(PromptPlacement, JobGuard<'a>), Refusal> {
    let (job, groups) = {
        let mut serving = state.serving();
        (
            serving.admit_prompt(state.now(), request)?,
            serving.groups_to_try(),
        )
    };
    if request.is_repeat {
        *retry = Some(TakenRetry {
            state,
            service: request.service.clone(),
            is_used: false,
        });
    }
    let guard = JobGuard::new(state, job);
    let mut refusal = Refusal::NoTarget;
    for group in groups {
        match place_in_group(state, job, group, request).await {
            Ok(placement) => return Ok((placement, guard)),
            Err(fault) => refusal = fault,
        }
    }
    Err(refusal)
}

/// Chooses engines of one group, by its deciders or locally.
async fn place_in_group(
    state: &EntryState,
    job: JobId,
    group: EngineGroup,
    request: &PromptRequest,
) -> Result<PromptPlacement, Refusal> {
    let deciders = state.serving().deciders(group);
    for peer in deciders.into_iter().take(MAX_ASKED_DECIDERS) {
        let Some(decision) = request_placement(state, peer, job, group, request).await else {
            continue;
        };
        if let Some(placement) = state.serving().accept_placement(state.now(), &decision?) {
            return Ok(placement);
        }
        // The peer hasn't learned yet that one of its engines isn't ready, so this instance chooses itself.
        break;
    }
    ask_engines(state, group, request).await;
    let now = state.now();
    let mut serving = state.serving();
    let decision = serving.choose_engines(now, job, group, request)?;
    serving
        .accept_placement(now, &decision)
        .ok_or(Refusal::NoTarget)
}

/// Reads the reports of the engines that this instance would choose, if it knows little of their work.
async fn ask_engines(state: &EntryState, group: EngineGroup, request: &PromptRequest) {
    let now = state.now();
    let engines = state.serving().engines_to_ask(now, group, request);
    if engines.is_empty() {
        return;
    }
    let asked = read_occupancies(state, &engines);
    // An engine that doesn't answer in time is chosen by what is known.
    let _in_time = timeout(state.clock.as_ref(), ASK_TIMEOUT_MS, asked).await;
}

/// Asks a peer to choose. `None` if it doesn't respond in time, which means that it is gone or overloaded.
async fn request_placement(
    state: &EntryState,
    peer: SocketAddr,
    job: JobId,
    group: EngineGroup,
    request: &PromptRequest,
) -> Option<Result<Placement, Refusal>> {
    let pending = state.links.placements.begin(job);
    state.serving().record_placement_request(job, group);
    let frame = Frame {
        placement_request: Some(PlacementRequest {
            job,
            reply_to: state.settings.peer_address,
            group,
            prompt: request.clone(),
        }),
        ..Frame::default()
    };
    state.send(&[peer], &frame);
    let received = timeout(
        state.clock.as_ref(),
        PLACEMENT_TIMEOUT_MS,
        pending.response.recv(),
    );
    Some(received.await?.ok()?.placement)
}
