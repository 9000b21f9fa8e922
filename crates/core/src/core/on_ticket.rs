//! Requests that aren't idempotent. Each needs a ticket, and only the ticket's home, the daemon that
//! issued it, may run it.

use {
    super::Core,
    crate::{
        action::Action,
        decisions::Subsystem,
        event::{ForwardEnd, Submission},
        requests::{Phase, Request, TicketClaim, TicketError},
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{RequestId, Ticket},
        peer::MemberState,
    },
};

/// Delay after which an account that has too many tickets may request more, in ms. Unused tickets have
/// expired by then.
const MORE_TICKETS_RETRY_MS: u64 = 120_000;
/// Delay after which a caller may retry if the ticket's home isn't known here or gave no answer, in ms.
const HOME_RETRY_MS: u64 = 1_000;

impl Core {
    /// Handles a request that isn't idempotent: issues a ticket if it has none, forwards it to the home of
    /// its ticket, or runs it here.
    pub(super) fn submit_non_idempotent(&mut self, now: MonoMs, entry: Request) {
        let Some(ticket) = entry.submission.ticket else {
            self.issue_ticket(now, &entry.submission);
            return;
        };
        if ticket.home != self.options.incarnation {
            self.forward_to_home(now, entry, ticket);
            return;
        }
        let submission = &entry.submission;
        let request = submission.request;
        match self
            .tickets
            .claim(ticket, &submission.account, submission.fingerprint)
        {
            // Once this daemon refuses new work, its unused tickets can never run: this incarnation
            // ends, and no other may run them. So `not_run` stays true.
            TicketClaim::Run if self.refuses_new(now) => self.refuse_leaving(now, request),
            TicketClaim::Run => {
                self.tickets.begin(ticket, request);
                self.requests.insert(entry);
                self.route(now, request);
            }
            TicketClaim::Wait => {
                self.tickets.attach(ticket, request);
                self.requests.attach(entry);
                let text = "waits for the request that is running under its ticket".to_owned();
                self.record_decision(now, Subsystem::Requests, Some(request), text);
            }
            TicketClaim::Ended(outcome) => self.answer_with_outcome(now, request, ticket, outcome),
            TicketClaim::Renew => self.issue_ticket(now, submission),
            TicketClaim::OtherRequest => {
                let message = "the ticket is for another request: send each under its own";
                self.refuse(now, request, Reason::BadRequest, message, None);
            }
            TicketClaim::Unknown => {
                let message = "this daemon no longer knows the ticket: the request may have run";
                self.finish_unknown(now, request, Reason::TicketLost, message, None);
            }
        }
    }

    fn issue_ticket(&mut self, now: MonoMs, submission: &Submission) {
        let request = submission.request;
        if self.refuses_new(now) {
            self.refuse_leaving(now, request);
            return;
        }
        let key = submission.idempotency_key.as_deref();
        let issued = self
            .tickets
            .issue(now, &submission.account, key, submission.fingerprint);
        let ticket = match issued {
            Ok(ticket) => ticket,
            Err(error @ TicketError::OtherRequest) => {
                self.refuse(now, request, Reason::BadRequest, &error.to_string(), None);
                return;
            }
            Err(error @ TicketError::TooMany) => {
                let retry = Some(MORE_TICKETS_RETRY_MS);
                self.refuse(
                    now,
                    request,
                    Reason::AccountLimit,
                    &error.to_string(),
                    retry,
                );
                return;
            }
        };
        self.finish_with(
            now,
            &Outcome {
                request,
                outcome: OutcomeKind::NotRun,
                reason: Reason::TicketNeeded,
                message: "this request must not run twice: send it again with this ticket"
                    .to_owned(),
                retry_after_ms: Some(0),
                ticket: Some(ticket),
            },
        );
    }

    fn forward_to_home(&mut self, now: MonoMs, entry: Request, ticket: Ticket) {
        let request = entry.submission.request;
        let forwarded = entry.submission.forwarded_by.is_some();
        let home = self.members.get(ticket.home);
        let alive = home.filter(|member| member.news.state != MemberState::Dead && !forwarded);
        let Some(member) = alive else {
            // An unknown home may be linked soon, so a retry may succeed; a dead one never returns.
            let retry = home.is_none().then_some(HOME_RETRY_MS);
            let message = "the daemon that issued the ticket is gone: the request may have run";
            self.finish_unknown(now, request, Reason::TicketLost, message, retry);
            return;
        };
        let to = member.news.caller_address;
        let text = format!("forwarded to the home of its ticket at {to}");
        self.requests.forward(entry);
        self.record_decision(now, Subsystem::Requests, Some(request), text);
        self.emit(Action::Forward {
            request,
            to,
            home: ticket.home,
        });
    }

    /// Handles the end of a request that was forwarded to the home of its ticket.
    pub(super) fn on_forward_ended(&mut self, now: MonoMs, request: RequestId, end: ForwardEnd) {
        let forwarded = self.requests.get(request);
        if !forwarded.is_some_and(|entry| matches!(entry.phase(), Phase::Forwarded)) {
            return;
        }
        match end {
            ForwardEnd::Answered => drop(self.requests.remove(request)),
            // An earlier send of the same request may have reached the home, so this is never reported
            // as `not_run`.
            ForwardEnd::Lost => {
                let message =
                    "the daemon that issued the ticket gave no answer: the request may have run";
                let retry = Some(HOME_RETRY_MS);
                self.finish_unknown(now, request, Reason::TicketLost, message, retry);
            }
        }
    }

    /// Records the outcome of a request for its ticket, and answers the requests that wait for it.
    pub(super) fn record_ticket_outcome(
        &mut self,
        now: MonoMs,
        entry: &Request,
        outcome: &Outcome,
    ) {
        let Some(ticket) = entry.submission.ticket else {
            return;
        };
        if matches!(entry.phase(), Phase::Attached) {
            self.tickets.detach(ticket, outcome.request);
            return;
        }
        for request in self.tickets.end(now, ticket, outcome) {
            self.requests.remove(request);
            self.answer_with_outcome(now, request, ticket, outcome.clone());
        }
    }

    /// Answers a request with the outcome of the run under its ticket, and with the kept answer if the run
    /// completed.
    fn answer_with_outcome(
        &mut self,
        now: MonoMs,
        request: RequestId,
        ticket: Ticket,
        mut outcome: Outcome,
    ) {
        outcome.request = request;
        if outcome.outcome != OutcomeKind::Completed {
            self.finish_with(now, &outcome);
            return;
        }
        self.decision_history.set_outcome(&outcome);
        let text = "answered with the kept answer of its ticket".to_owned();
        self.record_decision(now, Subsystem::Requests, Some(request), text);
        self.emit(Action::Replay {
            request,
            ticket,
            outcome,
        });
    }

    /// Refuses a request before it claims its ticket.
    ///
    /// Guards against reporting `not_run` for a request that has run: a request that names a ticket may
    /// be a resend, and refusing the resend proves nothing about the first send. The outcome is
    /// `not_run` only if this daemon issued the ticket and nothing ran under it.
    pub(super) fn refuse_before_claim(
        &mut self,
        now: MonoMs,
        submission: &Submission,
        reason: Reason,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let request = submission.request;
        if self.close_unused_ticket(now, submission) {
            self.refuse(now, request, reason, message, retry_after_ms);
        } else {
            self.finish_unknown(now, request, reason, message, retry_after_ms);
        }
    }

    /// Closes the ticket that a request names if it is unused. Returns whether the request hasn't run
    /// and never will.
    fn close_unused_ticket(&mut self, now: MonoMs, submission: &Submission) -> bool {
        let Some(ticket) = submission.ticket else {
            return true;
        };
        match self
            .tickets
            .claim(ticket, &submission.account, submission.fingerprint)
        {
            TicketClaim::Run => {
                self.tickets.close(now, ticket);
                true
            }
            TicketClaim::Renew | TicketClaim::OtherRequest => true,
            TicketClaim::Wait | TicketClaim::Ended(_) | TicketClaim::Unknown => false,
        }
    }

    fn finish_unknown(
        &mut self,
        now: MonoMs,
        request: RequestId,
        reason: Reason,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let kind = OutcomeKind::Unknown;
        self.finish(now, request, kind, reason, message, retry_after_ms);
    }
}
