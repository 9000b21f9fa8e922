//! Callers of the simulation: what they submit, and the outcomes that they receive.

use {
    super::{DEADLINE_MS, SubmittedRequest, World},
    crate::requests_fixture,
    whinlatch_core::{Event, ForwardEnd, Submission, Work},
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{Incarnation, RequestId},
    },
};

impl World {
    pub fn submit_new(&mut self, index: usize, job: Option<usize>, deadline_ms: u64) {
        self.last_id += 1;
        let work = match job {
            Some(_) => Work::Call {
                service: "labels".into(),
            },
            None => Work::Prompt {
                model: "m".into(),
                adapter: None,
                prompt_tokens: 1_000,
                max_tokens: 16,
                prefix_hashes: Vec::new(),
            },
        };
        let submission = Submission {
            request: RequestId(self.last_id),
            account: "acme".into(),
            caller: None,
            key_sha256: requests_fixture::KEY.to_owned(),
            deadline_ms: 200 + deadline_ms % DEADLINE_MS,
            ticket: job.and_then(|job| self.tickets[job]),
            idempotency_key: None,
            forwarded_by: None,
            fingerprint: job.map_or(self.last_id as u64, |job| job as u64),
            work,
        };
        self.submit(index, submission, job, None);
    }

    pub(super) fn submit(
        &mut self,
        index: usize,
        submission: Submission,
        job: Option<usize>,
        forwarded_from: Option<(Incarnation, RequestId)>,
    ) {
        let daemon = &self.daemons[index];
        let entry = SubmittedRequest {
            submission: submission.clone(),
            daemon: daemon.incarnation,
            deadline: self.now + submission.deadline_ms,
            job,
            forwarded_from,
            ended: false,
            outcome_returned: false,
        };
        if daemon.paused {
            return;
        }
        self.requests.insert(submission.request, entry);
        self.handle_event(index, Event::Submit(Box::new(submission)));
    }

    /// Records the outcome that a caller receives, and checks that it is consistent with what ran.
    pub(super) fn on_outcome(&mut self, outcome: &Outcome) {
        let request = outcome.request;
        let entry = self
            .requests
            .get_mut(&request)
            .expect("a submitted request");
        if entry.outcome_returned {
            return;
        }
        assert!(!entry.ended, "{request} ended twice");
        entry.ended = true;
        let (job, forwarded_from) = (entry.job, entry.forwarded_from);
        match outcome.outcome {
            OutcomeKind::Completed => {
                let own_answer = self.completed.contains(&request);
                let ran_once = job.is_some_and(|job| self.runs[job] == 1);
                assert!(
                    own_answer || ran_once,
                    "{request} completed without an answer of its own"
                );
            }
            OutcomeKind::NotRun => {
                self.reported_not_run.insert(request);
                let job = job.filter(|_| outcome.reason != Reason::TicketNeeded);
                let runs = job.map_or(0, |job| self.runs[job]);
                assert_eq!(runs, 0, "{request} reported not_run although its job ran");
            }
            OutcomeKind::Unknown => {}
        }
        if let (Some(job), Some(ticket)) = (job, outcome.ticket) {
            self.tickets[job].get_or_insert(ticket);
        }
        if let Some((forwarder, original)) = forwarded_from {
            self.return_outcome(forwarder, original, outcome);
        }
    }

    fn return_outcome(&mut self, forwarder: Incarnation, original: RequestId, outcome: &Outcome) {
        let paused = self
            .daemons
            .iter()
            .any(|d| d.incarnation == forwarder && d.paused);
        let is_open = self
            .requests
            .get(&original)
            .is_some_and(|entry| !entry.ended);
        let end = if paused || !is_open {
            ForwardEnd::Lost
        } else {
            let outcome = Outcome {
                request: original,
                ..outcome.clone()
            };
            self.on_outcome(&outcome);
            if let Some(entry) = self.requests.get_mut(&original) {
                entry.outcome_returned = true;
            }
            ForwardEnd::Answered
        };
        self.send_event_to(
            forwarder,
            Event::ForwardEnded {
                request: original,
                end,
            },
        );
    }
}
