use {
    super::{
        attempt::AttemptFault,
        engine_reports::REPORT_TIMEOUT_MS,
        entry_state::EntryState,
        own_call::{Need, OwnCall, own_call},
    },
    crate::clock::timeout,
    std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    whinlatch_core::MonoMs,
    whinlatch_platform::REPORT_PATH,
    whinlatch_serving::targets::TargetEntry,
};

/// Time between two checks of what is known of the engine, in ms.
const CHECK_INTERVAL_MS: u64 = 250;
/// Time between two reports at least, in ms.
const REPORT_INTERVAL_MS: u64 = 500;
/// Time for which an answer of the engine shows that it lives, in ms. Memory that is renewed at other engines must be
/// free within four seconds of the engine's death, and an expiring reservation alone takes three.
const FRESH_MS: u64 = 500;
/// Reports in a row without an answer after which the engine counts as silent. One may be lost with a packet.
const MAX_UNANSWERED_REPORTS: u32 = 2;

/// Signs of life of the engine that is to answer a prompt, from the begin of the attempt.
#[derive(Debug)]
pub struct EngineLife<'a> {
    state: &'a EntryState,
    engine: &'a TargetEntry,
    /// When the engine last sent anything, or the attempt began.
    heard_at_ms: AtomicU64,
    /// When a part of the prompt's answer last arrived, or the attempt began.
    answered_at_ms: AtomicU64,
    /// When it was last asked for its report; 0 before.
    asked_at_ms: AtomicU64,
    /// Reports in a row without an answer.
    unanswered: AtomicU32,
    /// Whether no other engine took the prompt in a search during the attempt.
    was_refused: AtomicBool,
}

impl<'a> EngineLife<'a> {
    /// Begins with an attempt that is about to be sent.
    pub fn new(state: &'a EntryState, engine: &'a TargetEntry) -> Self {
        let now = state.now().0;
        Self {
            state,
            engine,
            heard_at_ms: AtomicU64::new(now),
            answered_at_ms: AtomicU64::new(now),
            asked_at_ms: AtomicU64::new(0),
            unanswered: AtomicU32::new(0),
            was_refused: AtomicBool::new(false),
        }
    }

    /// Records that a part of the prompt's answer arrived.
    pub fn record_answer(&self, now: MonoMs) {
        self.answered_at_ms.store(now.0, Ordering::Relaxed);
        self.record_heard(now);
    }

    fn record_heard(&self, now: MonoMs) {
        self.heard_at_ms.store(now.0, Ordering::Relaxed);
        self.unanswered.store(0, Ordering::Relaxed);
    }

    /// Time since a part of the prompt's answer last arrived, or the attempt began, in ms.
    pub fn silent_ms(&self, now: MonoMs) -> u64 {
        now.since(MonoMs(self.answered_at_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the engine has left several reports in a row unanswered, and has sent nothing since.
    pub fn leaves_reports_unanswered(&self) -> bool {
        self.unanswered.load(Ordering::Relaxed) >= MAX_UNANSWERED_REPORTS
    }

    /// Returns `true` on its first call.
    pub fn is_first_refusal(&self) -> bool {
        !self.was_refused.swap(true, Ordering::Relaxed)
    }

    /// Completes once the engine has restarted. Until then reads its reports while its entry is gone or a connection
    /// to it failed at some instance, if `reads_reports`.
    pub async fn until_restarted(&self, reads_reports: bool) {
        loop {
            self.state.clock.sleep(CHECK_INTERVAL_MS).await;
            if self.state.serving().has_restarted(self.engine) {
                return;
            }
            if reads_reports && self.is_suspect() {
                self.shows_life().await;
            }
        }
    }

    fn is_suspect(&self) -> bool {
        let now = self.state.now();
        let has_unanswered = self.unanswered.load(Ordering::Relaxed) > 0;
        has_unanswered || self.state.serving().may_be_gone(now, &self.engine.id)
    }

    /// Returns whether the engine has sent something just now. Asks it for its report if it hasn't, unless it was asked
    /// a moment ago or this instance reaches no engine: reports need a new connection.
    pub async fn shows_life(&self) -> bool {
        let now = self.state.now();
        if now.since(MonoMs(self.heard_at_ms.load(Ordering::Relaxed))) < FRESH_MS {
            return true;
        }
        let asked_at_ms = self.asked_at_ms.load(Ordering::Relaxed);
        let was_asked = asked_at_ms > 0 && now.since(MonoMs(asked_at_ms)) < REPORT_INTERVAL_MS;
        if was_asked || self.state.serving().is_out_of_reach(&self.engine.service) {
            return false;
        }
        self.asked_at_ms.store(now.0, Ordering::Relaxed);
        let is_answering = is_answering(self.state, self.engine).await;
        if is_answering {
            self.record_heard(self.state.now());
        } else {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
        }
        is_answering
    }
}

/// Returns whether an engine answers a request for its report, with whatever status, or may not be asked now.
async fn is_answering(state: &EntryState, engine: &TargetEntry) -> bool {
    let call = own_call(state, engine, OwnCall::Query(REPORT_PATH), Need::Optional);
    match timeout(state.clock.as_ref(), REPORT_TIMEOUT_MS, call).await {
        Some(Ok(_) | Err(AttemptFault::NotPermitted)) => true,
        Some(Err(_)) | None => false,
    }
}
