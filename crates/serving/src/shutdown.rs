//! Graceful shutdown of an instance: which requests it still takes, and when it may exit.
//!
//! After the signal to stop, callers take some seconds to learn of other instances. Until then a request is served if it is
//! expected to be finished before the exit. Afterwards only one is whose time ends before the exit: its caller has
//! another instance to go to, or none is left. All else is refused at once.

mod answer_durations;

pub use answer_durations::AnswerDurations;

use whinlatch_core::MonoMs;

/// Time between the signal and the moment at which the process notices it at the latest, in ms.
const SIGNAL_DELAY_MS: u64 = 100;
/// Time by which the shortest shutdown exceeds the time for which callers use an address list, in ms: peers list the
/// instance until they know that it leaves.
const LISTING_DELAY_MS: u64 = 600;
/// The process exits by itself this long before the platform would kill it, in ms.
const KILL_MARGIN_MS: u64 = 300;
/// Time from the exit of a process until its next run is ready, in ms.
const RESTART_MS: u64 = 1_500;

/// What an instance knows of its shutdown from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownRule {
    /// Time from the signal to stop until the platform kills the process, in ms.
    pub grace_ms: u64,
    /// Longest time for which callers use a list of addresses, in ms.
    pub list_use_ms: u64,
}

/// The shutdown of an instance that was ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    announced_at: MonoMs,
    exits_at: MonoMs,
    is_closed: bool,
}

impl Shutdown {
    /// Begins a shutdown.
    pub fn begin(now: MonoMs, rule: ShutdownRule) -> Self {
        Self {
            announced_at: now + rule.list_use_ms.saturating_sub(SIGNAL_DELAY_MS),
            exits_at: now + rule.grace_ms.saturating_sub(KILL_MARGIN_MS),
            is_closed: false,
        }
    }

    /// Returns when all callers have had time to learn of other instances.
    pub fn announced_at(&self) -> MonoMs {
        self.announced_at
    }

    /// Returns when the process exits at the latest.
    pub fn exits_at(&self) -> MonoMs {
        self.exits_at
    }

    /// Records that no request is read any more.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns whether a request is served that must end by `deadline` and usually takes `usual_ms`, if that is known.
    pub fn admits(&self, now: MonoMs, deadline: MonoMs, usual_ms: Option<u64>) -> bool {
        if self.is_closed {
            return false;
        }
        let is_announced = now >= self.announced_at;
        deadline <= self.exits_at || !is_announced && now + usual_ms.unwrap_or(0) <= self.exits_at
    }

    /// Returns whether the process may exit, with this number of open requests.
    pub fn is_over(&self, now: MonoMs, open_requests: usize) -> bool {
        now >= self.exits_at || open_requests == 0 && now >= self.announced_at + LISTING_DELAY_MS
    }

    /// Returns the time after which a caller finds the next run of this instance, in ms.
    pub fn next_run_ms(&self, now: MonoMs) -> u64 {
        let exits_at = self.announced_at + LISTING_DELAY_MS;
        exits_at.since(now) + RESTART_MS
    }
}
