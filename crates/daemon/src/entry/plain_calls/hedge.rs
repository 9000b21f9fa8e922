//! Attempts of a call that may get a second attempt while the first one is in flight.

use {
    super::{
        super::{
            attempt::AttemptFault,
            decision_line::Decision,
            entry_metrics::{EntryMetrics, HedgeOutcome},
            permits::is_permitted,
        },
        call_guard::CallGuard,
        plain_call::{CompleteAnswer, PlainCall},
        record_failed_attempt,
    },
    crate::clock::timeout,
    futures::{
        future::{Either, select},
        pin_mut,
    },
    std::pin::Pin,
    whinlatch_serving::{calls::HedgeDelay, names::TargetId, targets::TargetEntry},
};

/// How an attempt ended.
pub type AttemptEnd = Result<CompleteAnswer, AttemptFault>;

/// An attempt that ended, with its target.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Entry of the target, as known when it was chosen.
    pub target: TargetEntry,
    /// Its answer, or the fault that ended the attempt.
    pub end: AttemptEnd,
}

impl EndedAttempt {
    fn new(guard: &CallGuard<'_>, end: AttemptEnd) -> Self {
        Self {
            target: guard.target().clone(),
            end,
        }
    }

    fn is_success(&self) -> bool {
        self.end.as_ref().is_ok_and(CompleteAnswer::is_success)
    }
}

/// Counts a hedge when dropped, as failed unless another outcome was set: then neither attempt succeeded before
/// the deadline, or the caller is gone.
#[derive(Debug)]
struct HedgeCount<'a> {
    metrics: &'a EntryMetrics,
    outcome: HedgeOutcome,
}

impl Drop for HedgeCount<'_> {
    fn drop(&mut self) {
        self.metrics.record_hedge(self.outcome);
    }
}

impl PlainCall<'_> {
    /// Sends the call to the target at which it was placed, and to a second one if the answer is late. Adds the
    /// targets to `tried`. Returns the attempt whose end counts for the call; the other one is recorded or
    /// cancelled.
    pub async fn attempt(
        &self,
        first: CallGuard<'_>,
        has_hedged: &mut bool,
        tried: &mut Vec<TargetId>,
    ) -> EndedAttempt {
        tried.push(first.target().id.clone());
        let prepared = match self.prepare(&first, false).await {
            Ok(prepared) => prepared,
            Err(fault) => return EndedAttempt::new(&first, Err(fault)),
        };
        let exchange = self.exchange(&first, prepared);
        let delay = self.hedge_delay().filter(|_delay| !*has_hedged);
        let Some(delay) = delay else {
            return EndedAttempt::new(&first, exchange.await);
        };
        pin_mut!(exchange);
        let clock = self.state.clock.as_ref();
        if let Some(end) = timeout(clock, delay.ms, exchange.as_mut()).await {
            return EndedAttempt::new(&first, end);
        }
        let Some(second) = self.place_hedge(tried) else {
            return EndedAttempt::new(&first, exchange.await);
        };
        *has_hedged = true;
        tried.push(second.target().id.clone());
        self.race(&first, exchange, &second, delay).await
    }

    fn hedge_delay(&self) -> Option<HedgeDelay> {
        let (context, sends) = (self.context, self.answer.progress().sends);
        let serving = self.state.serving();
        serving.hedge_delay(self.state.now(), &context.service, &context.route, sends)
    }

    /// Chooses the target of a second attempt, and counts the call towards its load; `None` if there may be no
    /// second attempt.
    fn place_hedge(&self, tried: &[TargetId]) -> Option<CallGuard<'_>> {
        let request = self.request(tried);
        let placed = {
            let mut serving = self.state.serving();
            serving.place_hedge(self.state.now(), &request)
        };
        if let Ok(placement) = placed {
            return Some(CallGuard::new(self.state, placement.target));
        }
        self.state.metrics.record_hedge(HedgeOutcome::Denied);
        None
    }

    /// Waits for the first success of two attempts, of which the second one hasn't begun, and cancels the other
    /// one.
    async fn race(
        &self,
        first: &CallGuard<'_>,
        first_exchange: Pin<&mut impl Future<Output = AttemptEnd>>,
        second: &CallGuard<'_>,
        delay: HedgeDelay,
    ) -> EndedAttempt {
        let mut count = HedgeCount {
            metrics: &self.state.metrics,
            outcome: HedgeOutcome::Failed,
        };
        let hedge = self.hedge(first, second, delay);
        pin_mut!(hedge);
        let (earlier, later) = match select(first_exchange, hedge).await {
            Either::Left((end, hedge)) => {
                let earlier = EndedAttempt::new(first, end);
                if earlier.is_success() {
                    second.record_overtaken(first.elapsed_ms());
                    count.outcome = HedgeOutcome::Lost;
                    return earlier;
                }
                self.record_fault(&earlier);
                (earlier, EndedAttempt::new(second, hedge.await))
            }
            Either::Right((end, first_exchange)) => {
                let earlier = EndedAttempt::new(second, end);
                if earlier.is_success() {
                    first.record_overtaken(second.elapsed_ms());
                    count.outcome = HedgeOutcome::Won;
                    return earlier;
                }
                self.record_fault(&earlier);
                (earlier, EndedAttempt::new(first, first_exchange.await))
            }
        };
        let hedged = [&earlier, &later]
            .into_iter()
            .find(|attempt| attempt.target.id == second.target().id);
        count.outcome = match hedged.map(|hedged| &hedged.end) {
            Some(Ok(answer)) if answer.is_success() => HedgeOutcome::Won,
            Some(Err(AttemptFault::NotPermitted)) => HedgeOutcome::Denied,
            _ => HedgeOutcome::Failed,
        };
        if is_decided_by_later(&earlier.end, &later.end) {
            return later;
        }
        self.record_fault(&later);
        earlier
    }

    /// Sends the second attempt.
    async fn hedge(
        &self,
        first: &CallGuard<'_>,
        second: &CallGuard<'_>,
        delay: HedgeDelay,
    ) -> AttemptEnd {
        if !is_permitted(self.state, &second.target().id).await {
            second.record_ended(true);
            return Err(AttemptFault::NotPermitted);
        }
        let prepared = self.prepare(second, true).await?;
        self.state.log(&Decision::Hedged {
            request: self.context.caller.request_id.clone(),
            target: second.target().id.to_string(),
            first_target: first.target().id.to_string(),
            after_ms: first.elapsed_ms(),
            late_answer_ms: delay.late_answer_ms,
        });
        self.exchange(second, prepared).await
    }

    /// Records the fault of an attempt that doesn't count for the call, if there is one. That nothing was sent for
    /// lack of a permit is logged already.
    fn record_fault(&self, attempt: &EndedAttempt) {
        match &attempt.end {
            Ok(_) | Err(AttemptFault::NotPermitted) => {}
            Err(fault) => record_failed_attempt(self.state, self.context, &attempt.target, fault),
        }
    }
}

/// Returns whether the later of two attempts counts for the call, of which the earlier one failed: it does if it
/// succeeded, or if the earlier one got no answer that could be passed on.
fn is_decided_by_later(earlier: &AttemptEnd, later: &AttemptEnd) -> bool {
    later.as_ref().is_ok_and(CompleteAnswer::is_success) || earlier.is_err()
}

#[cfg(test)]
#[path = "hedge_test.rs"]
mod tests;
