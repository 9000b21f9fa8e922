use {
    super::{generate, liveness::Lost, service_call},
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

/// Steps that may wait to be taken, so that a slow caller slows its target down.
const WAITING_STEPS: usize = 8;
/// Largest refusal, in bytes.
const MAX_REFUSAL_BYTES: u64 = 65_536;

/// What a target is asked for.
#[derive(Debug)]
pub enum AttemptWork {
    /// A prompt.
    Prompt {
        /// The caller's body.
        completion: CompletionRequest,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Hashes of the prompt's prefixes.
        prefix_hashes: Vec<u64>,
    },
    /// A call of a plain service.
    Call {
        /// The service.
        service: ServiceName,
        /// Client account that calls.
        account: AccountName,
        /// The caller's body.
        body: String,
    },
}

/// Something that came of an attempt.
#[derive(Debug)]
pub enum Step {
    /// The next chunk of the answer.
    Chunk(StreamChunk),
    /// The whole answer of a plain service.
    Answer(ServiceAnswer),
    /// The attempt ended without a whole answer.
    Ended(AttemptEvent),
}

/// An attempt at a target. Dropped, it closes its connection.
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
    /// Begins an attempt. Of a prompt's answer, chunks from `first_chunk` on are wanted.
    pub fn begin(
        shared: Arc<Shared>,
        dispatch: Arc<Dispatch>,
        work: Arc<AttemptWork>,
        first_chunk: u64,
    ) -> Self {
        let id = dispatch.attempt;
        let (steps, taken) = async_channel::bounded(WAITING_STEPS);
        let run = run(shared, dispatch, work, first_chunk, steps);
        let run = stream::once(run).filter_map(|()| futures::future::ready(None));
        Self {
            id,
            steps: stream::select(run, taken).boxed(),
        }
    }

    /// The attempt.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// The next step; `None` after the last.
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

/// What became of an attempt whose connection was lost after `chunks` chunks.
pub fn lost_event(lost: Lost, chunks: u64) -> AttemptEvent {
    match lost {
        Lost::Silent => AttemptEvent::Silent { chunks },
        Lost::Broken => AttemptEvent::Broken { chunks },
    }
}

/// What became of an attempt that was answered with another status than 200. Only the target's
/// own refusal of this very attempt says that it wasn't run.
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
