//! Checks of what stops of instances do to requests, and of how long they take.

use {
    crate::{
        environment::{GRACE_S, TIMEOUT_MS},
        finding::Finding,
        observations::{InstanceRun, InstanceStop, Outcome, RequestKind, RequestRecord, Run},
        target::StreamPace,
    },
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Time from the signal to stop to the latest exit.
const GRACE: Duration = Duration::from_secs(GRACE_S);
/// Time from the signal on in which a request may still be sent that the end of the grace time then cuts off.
const LATEST_START: Duration = Duration::from_secs(3);
/// Longest time for which a target is silent and goes on.
const MAX_SILENCE: Duration = Duration::from_millis(1_300);
/// An instance ends a request this long before its deadline at most, counted from the caller's start.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(100);
/// Time after its last byte within which a request that reaches no target may cross the close of its connection.
const CROSSING_SLACK: Duration = Duration::from_secs(1);
/// Time from the signal to stop for which an instance without requests may stay, for callers to learn of others.
const ANNOUNCEMENT: Duration = Duration::from_secs(4);
/// Tolerance for an instance's exit after its last request.
const EXIT_TOLERANCE: Duration = Duration::from_secs(1);
/// Time after which the first request that an instance served is known to all others.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Reason why the end of a request without a complete answer is no fault of its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Excuse {
    /// The timeout of its route was reached. Where times are checked, only a stream may last so long.
    TimeOver,
    /// Its target was at work in the last sixth of the grace time, and it was sent soon after the signal.
    OutlastsGrace,
    /// It reached no target and crossed the close of its connection, by an instance that leaves or for its idle timeout.
    /// Where times are checked, it ends at once.
    CrossesClose,
}

/// Stops of instances in a run with series of them. Times aren't checked on a busy machine, which delays requests.
#[derive(Debug, Clone)]
pub struct Shutdowns {
    /// All stops by signal.
    pub stops: Vec<InstanceStop>,
    /// Whether the times of stops are checked.
    pub are_timed: bool,
}

impl Shutdowns {
    /// Returns why a request that ended without a complete answer is no finding; `None` if it is one.
    pub fn excuse(&self, request: &RequestRecord, runs: &[Run]) -> Option<Excuse> {
        let took = request.ended_at - request.sent_at;
        let may_take_long = request.kind == RequestKind::Stream || !self.are_timed;
        if may_take_long && took + TIMEOUT_MARGIN >= Duration::from_millis(TIMEOUT_MS) {
            return Some(Excuse::TimeOver);
        }
        let is_closed = matches!(request.outcome, Outcome::NotSent | Outcome::Closed);
        if is_closed && runs.is_empty() && (took < CROSSING_SLACK || !self.are_timed) {
            return Some(Excuse::CrossesClose);
        }
        let stop = self.stop_of(request.accepted_by)?;
        outlasts_grace(stop, request, runs).then_some(Excuse::OutlastsGrace)
    }

    fn stop_of(&self, run: InstanceRun) -> Option<&InstanceStop> {
        self.stops.iter().find(|stop| stop.run == run)
    }

    /// Checks the times of stops: no refusal while another instance is ready, no exit later than needed.
    pub fn check(&self, requests: &[RequestRecord]) -> Vec<Finding> {
        if !self.are_timed {
            return Vec::new();
        }
        let refused = requests.iter().filter(|request| {
            is_refused_for_lack(request) && self.has_settled_other(request, requests)
        });
        let refused = refused.map(|request| {
            let seen = format!(
                "{} at {:?} was sent nowhere",
                request.id, request.accepted_by
            );
            Finding::new("a leaving instance names another", seen)
        });
        let late = self.stops.iter().filter_map(|stop| {
            let exited_at = stop.exited_at?;
            let is_late = exited_at > latest_exit(stop, requests);
            let took = exited_at - stop.signalled_at;
            is_late.then(|| {
                let seen = format!("{:?} exited after {took:?}", stop.run);
                Finding::new("an instance exits once it has nothing to do", seen)
            })
        });
        refused.chain(late).collect()
    }

    /// Returns whether another instance that all know of served requests before and stayed until after the request.
    fn has_settled_other(&self, request: &RequestRecord, requests: &[RequestRecord]) -> bool {
        requests.iter().any(|other| {
            let run = other.accepted_by;
            let stop = self.stop_of(run);
            run.instance != request.accepted_by.instance
                && matches!(other.outcome, Outcome::Answered { status: 200, .. })
                && other.ended_at + SETTLING_TIME < request.sent_at
                && stop.is_none_or(|stop| stop.signalled_at > request.ended_at)
        })
    }
}

/// Returns whether a request was sent soon after the signal to stop and cut off while a target was at work on it in the
/// last sixth of the grace time.
fn outlasts_grace(stop: &InstanceStop, request: &RequestRecord, runs: &[Run]) -> bool {
    let last_sixth = stop.signalled_at + GRACE * 5 / 6;
    let work = match request.kind {
        RequestKind::Stream => StreamPace::SomeSlow.stream_duration(&request.id),
        RequestKind::Safe | RequestKind::Unsafe | RequestKind::Probe { .. } => Duration::ZERO,
    };
    let is_at_work = runs
        .iter()
        .any(|run| run.at + work + MAX_SILENCE >= last_sixth);
    request.sent_at <= stop.signalled_at + LATEST_START
        && request.ended_at >= last_sixth
        && is_at_work
}

/// Returns whether a leaving instance refused a request without another one to go to at once.
fn is_refused_for_lack(request: &RequestRecord) -> bool {
    match &request.outcome {
        Outcome::Answered {
            status: 503,
            body,
            retry_after: Some(retry_after),
            ..
        } => {
            let is_later = retry_after.parse().is_ok_and(|seconds: f64| seconds > 0.0);
            is_later && body.contains("leaving")
        }
        _ => false,
    }
}

/// Returns the latest exit after the last request that the instance had open.
fn latest_exit(stop: &InstanceStop, requests: &[RequestRecord]) -> Instant {
    let own = requests
        .iter()
        .filter(|request| request.accepted_by == stop.run);
    let last = own.map(|request| request.ended_at).max();
    let announced = stop.signalled_at + ANNOUNCEMENT;
    let needed = last.map_or(announced, |last| last.max(announced));
    needed.min(stop.signalled_at + GRACE) + EXIT_TOLERANCE
}
