use {
    super::{generate, service_call},
    crate::shared::Shared,
    async_channel::Sender,
    futures::{
        StreamExt,
        future::FutureExt,
        stream::{self, BoxStream},
    },
    http_types::Response,
    std::sync::Arc,
    whinlatch_core::{AttemptEvent, Dispatch},
    whinlatch_wire::{
        caller::CompletionRequest,
        ids::{AccountName, AttemptId, ServiceName},
        target::{Refusal, ServiceAnswer, StreamChunk},
    },
};

/// Steps queued for the exchange. The queue is short, so that a slow caller slows its target down.
const STEP_QUEUE_LEN: usize = 8;
/// Largest refusal of a target that is read, in bytes.
const MAX_REFUSAL_BYTES: u64 = 65_536;

/// The work of a request, as it is sent to a target.
#[derive(Debug)]
pub enum AttemptWork {
    /// A prompt for an engine.
    Prompt {
        /// The caller's request.
        completion: CompletionRequest,
        /// Estimated tokens of the prompt.
        prompt_tokens: u64,
        /// Hashes of the prompt's prefixes, the shortest first.
        prefix_hashes: Vec<u64>,
    },
    /// A call of a plain service.
    Call {
        /// Service that is called.
        service: ServiceName,
        /// Client account of the caller.
        account: AccountName,
        /// The caller's request body.
        body: String,
    },
}

/// A part of an attempt's answer, or its end.
#[derive(Debug)]
pub enum Step {
    /// The next chunk of the answer.
    Chunk(StreamChunk),
    /// The complete answer of a plain service.
    Answer(ServiceAnswer),
    /// The target has been silent for the configured time, also over a new connection. The attempt goes on.
    Silent,
    /// The attempt ended without a complete answer.
    Ended(AttemptEvent),
}

/// An attempt at a target. Dropping it closes its connection.
pub struct Attempt {
    id: AttemptId,
    steps: BoxStream<'static, Step>,
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Attempt")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Attempt {
    /// Starts an attempt. A prompt's answer is requested from chunk `first_chunk` on.
    pub fn start(
        shared: Arc<Shared>,
        dispatch: Arc<Dispatch>,
        work: Arc<AttemptWork>,
        first_chunk: u64,
    ) -> Self {
        let id = dispatch.attempt;
        let (steps, received) = async_channel::bounded(STEP_QUEUE_LEN);
        let run = run(shared, dispatch, work, first_chunk, steps);
        let run = stream::once(run).filter_map(|()| futures::future::ready(None));
        Self {
            id,
            steps: stream::select(run, received).boxed(),
        }
    }

    /// Returns the attempt's id.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// Waits for the next step; `None` after the last.
    pub async fn next(&mut self) -> Option<Step> {
        self.steps.next().await
    }
}

async fn run(
    shared: Arc<Shared>,
    dispatch: Arc<Dispatch>,
    work: Arc<AttemptWork>,
    first_chunk: u64,
    steps: Sender<Step>,
) {
    let ended = match work.as_ref() {
        AttemptWork::Prompt { .. } => {
            generate::run(&shared, &dispatch, &work, first_chunk, &steps)
                .boxed()
                .await
        }
        AttemptWork::Call { .. } => {
            service_call::run(&shared, &dispatch, &work, &steps)
                .boxed()
                .await
        }
    };
    if let Err(event) = ended {
        let _abandoned = steps.send(Step::Ended(event)).await;
    }
}

/// Returns the event for an attempt that was answered with another status than 200. Only a refusal
/// that names this attempt proves that it wasn't run.
pub async fn refused_event(attempt: AttemptId, mut response: Response) -> AttemptEvent {
    let status = super::json_call::status_of(&response);
    let Ok(body) = super::read_body(&mut response, MAX_REFUSAL_BYTES).await else {
        return AttemptEvent::Broken { chunks: 0 };
    };
    match serde_json::from_slice::<Refusal>(&body) {
        Ok(refusal) if refusal.attempt == attempt => AttemptEvent::Refused(refusal),
        _ => AttemptEvent::Failed { status },
    }
}
