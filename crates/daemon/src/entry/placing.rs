//! Where the engines for a prompt are chosen: here, or by a peer that is told of all prompts.

use {
    super::{entry_state::EntryState, job_guard::JobGuard, permits::is_permitted},
    crate::clock::timeout,
    std::net::SocketAddr,
    whinlatch_serving::{
        PromptPlacement, PromptRequest, Refusal,
        fleet::{EngineGroup, Frame, JobId, Placement, PlacementRequest},
    },
};

/// Time for a peer to choose, in ms: two crossings of the network, and what a small instance needs
/// to come to it. After two of them the prompt still has most of its time.
const CHOICE_MS: u64 = 40;
/// Peers that are asked, one after the other, before this instance chooses by what it knows.
const ASKED: usize = 2;

/// Finds engines for a prompt that it may be sent to, and counts it as sent there until the guard is dropped.
///
/// # Errors
/// A [`Refusal`]; the prompt has not been sent.
pub async fn place(
    state: &EntryState,
    mut ask: PromptRequest,
) -> Result<(PromptPlacement, JobGuard<'_>), Refusal> {
    loop {
        let closed = state.serving().closed_targets(state.now());
        ask.excluded.extend(closed);
        let (place, guard) = match choose(state, &ask).await {
            Ok(chosen) => chosen,
            // Whoever chose was told to leave out what is closed to this instance.
            Err(Refusal::NoTarget) => {
                return Err(state
                    .serving()
                    .refusal_for_closed_targets(state.now(), &ask.service));
            }
            Err(refusal) => return Err(refusal),
        };
        if is_permitted(state, &place.engine.id).await {
            return Ok((place, guard));
        }
        // The budget has let this repeat through.
        ask.is_repeat = false;
    }
}

/// Finds engines for a prompt and counts it as sent there until the guard is dropped.
///
/// The guard exists before a peer is asked: a caller that leaves meanwhile would leave a prompt
/// behind at the peer that nobody ever tells the end of.
async fn choose<'a>(
    state: &'a EntryState,
    ask: &PromptRequest,
) -> Result<(PromptPlacement, JobGuard<'a>), Refusal> {
    let (job, groups) = {
        let mut serving = state.serving();
        (
            serving.admit_prompt(state.now(), ask)?,
            serving.groups_to_try(),
        )
    };
    let guard = JobGuard::new(state, job);
    let mut refusal = Refusal::NoTarget;
    for group in groups {
        match find(state, job, group, ask).await {
            Ok(place) => return Ok((place, guard)),
            Err(fault) => refusal = fault,
        }
    }
    Err(refusal)
}

async fn find(
    state: &EntryState,
    job: JobId,
    group: EngineGroup,
    ask: &PromptRequest,
) -> Result<PromptPlacement, Refusal> {
    let deciders = state.serving().deciders(group);
    for peer in deciders.into_iter().take(ASKED) {
        let Some(placement) = ask_peer(state, peer, job, group, ask).await else {
            continue;
        };
        if let Some(place) = state.serving().accept_placement(state.now(), &placement?) {
            return Ok(place);
        }
        break;
    }
    let now = state.now();
    let mut serving = state.serving();
    let placement = serving.choose_engines(now, job, group, ask)?;
    serving
        .accept_placement(now, &placement)
        .ok_or(Refusal::NoTarget)
}

/// Asks a peer. `None` if it doesn't answer in time: it is gone, or has no time itself.
async fn ask_peer(
    state: &EntryState,
    peer: SocketAddr,
    job: JobId,
    group: EngineGroup,
    ask: &PromptRequest,
) -> Option<Result<Placement, Refusal>> {
    let awaited = state.links.placements.begin(job);
    state.serving().record_placement_request(job, group);
    let frame = Frame {
        placement_request: Some(PlacementRequest {
            job,
            reply_to: state.settings.peer_address,
            group,
            prompt: ask.clone(),
        }),
        ..Frame::default()
    };
    state.send(&[peer], &frame);
    let answered = timeout(state.clock.as_ref(), CHOICE_MS, awaited.answer.recv());
    Some(answered.await?.ok()?.placement)
}
