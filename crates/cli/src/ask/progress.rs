use {
    super::request::AskRequest,
    async_std::task::sleep,
    futures::future::{Either, select},
    std::{
        pin::pin,
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
};

/// Prompts of at least this many tokens get a progress line.
const LONG_PROMPT_TOKENS: u64 = 10_000;
/// Time between two updates of the progress line.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Progress line on standard error that shows how long a long prompt has been waiting for its answer.
#[derive(Debug)]
pub(super) struct Progress {
    shown: bool,
    tokens: u64,
    deadline: Duration,
    stopped: AtomicBool,
}

impl Progress {
    /// Creates a progress line that is shown if `enabled` and the prompt is long.
    pub fn new(request: &AskRequest, enabled: bool) -> Self {
        let tokens = request.prompt_tokens();
        let shown = enabled && tokens >= LONG_PROMPT_TOKENS;
        Self {
            shown,
            tokens,
            deadline: request.deadline,
            stopped: AtomicBool::new(!shown),
        }
    }

    /// Creates a progress line that is never shown, for the requests of a batch.
    pub fn hidden(request: &AskRequest) -> Self {
        Self::new(request, false)
    }

    /// Ends the line, when the first text arrives or the request is over.
    pub fn stop(&self) {
        if !self.stopped.swap(true, Ordering::Relaxed) {
            eprintln!();
        }
    }

    /// Runs `work` and updates the line until it completes.
    pub async fn show_during<T>(&self, work: impl Future<Output = T>) -> T {
        let work = pin!(work);
        if !self.shown {
            return work.await;
        }
        let refresh = pin!(self.refresh());
        let done = match select(work, refresh).await {
            Either::Left((done, _lines)) => done,
            Either::Right((_stopped, work)) => work.await,
        };
        self.stop();
        done
    }

    async fn refresh(&self) {
        let started_at = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            let waited_s = started_at.elapsed().as_secs();
            let (tokens, deadline_s) = (self.tokens, self.deadline.as_secs());
            eprint!("\rabout {tokens} tokens sent, {waited_s} s of {deadline_s} s waited");
            sleep(REFRESH_INTERVAL).await;
        }
    }
}
