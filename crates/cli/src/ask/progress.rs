use {
    super::question::Question,
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
/// Time between two progress lines.
const PACE: Duration = Duration::from_secs(1);

/// A line on standard error that tells how long the answer to a long prompt has been waited for.
#[derive(Debug)]
pub(super) struct Progress {
    shown: bool,
    tokens: u64,
    deadline: Duration,
    stopped: AtomicBool,
}

impl Progress {
    /// Shows the line if it is `wanted` and the prompt is long.
    pub fn new(question: &Question, wanted: bool) -> Self {
        let tokens = question.prompt_tokens();
        let shown = wanted && tokens >= LONG_PROMPT_TOKENS;
        Self {
            shown,
            tokens,
            deadline: question.deadline,
            stopped: AtomicBool::new(!shown),
        }
    }

    /// No line at all.
    pub fn hidden(question: &Question) -> Self {
        Self::new(question, false)
    }

    /// Ends the line, since text has come.
    pub fn stop(&self) {
        if !self.stopped.swap(true, Ordering::Relaxed) {
            eprintln!();
        }
    }

    /// Runs `work` and shows the line beside it.
    pub async fn show_during<T>(&self, work: impl Future<Output = T>) -> T {
        let work = pin!(work);
        if !self.shown {
            return work.await;
        }
        let lines = pin!(self.lines());
        let done = match select(work, lines).await {
            Either::Left((done, _lines)) => done,
            Either::Right((_stopped, work)) => work.await,
        };
        self.stop();
        done
    }

    async fn lines(&self) {
        let begin = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            let waited_s = begin.elapsed().as_secs();
            let (tokens, deadline_s) = (self.tokens, self.deadline.as_secs());
            eprint!("\rabout {tokens} tokens sent, {waited_s} s of {deadline_s} s waited");
            sleep(PACE).await;
        }
    }
}
