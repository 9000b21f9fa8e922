use {
    super::{AnswerTimes, BUCKETS, CallOutcome, CallReport},
    crate::names::TargetId,
};

/// Results of an instance's calls to a target that it hasn't reported yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallTally {
    answers: [u32; BUCKETS],
    failed: u32,
    unanswered: u32,
}

impl CallTally {
    /// Counts the result of a call.
    pub fn record(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered { took_ms } => self.answers[AnswerTimes::bucket_of(took_ms)] += 1,
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::Unanswered => self.unanswered += 1,
        }
    }

    /// Returns whether there are no results.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the results as a report of a target.
    pub fn report(&self, target: TargetId, in_flight: u32) -> CallReport {
        let answers = self.answers.iter().zip(0_u8..);
        CallReport {
            target,
            in_flight,
            answers: answers
                .filter(|(count, _)| **count > 0)
                .map(|(count, bucket)| (bucket, *count))
                .collect(),
            failed: self.failed,
            unanswered: self.unanswered,
        }
    }
}
