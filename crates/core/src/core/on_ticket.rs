//! Requests that may not be repeated: only the home of the ticket may run one.

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

/// When a caller is told to come back for more tickets, in ms: unused ones have expired by then.
const MORE_TICKETS_MS: u64 = 120_000;
/// When a caller is told to ask again for a ticket whose home isn't known here, in ms.
const HOME_RETRY_MS: u64 = 1_000;

impl Core {
    /// Takes in a request that may not be repeated: only the home of its ticket may run it.
    pub(super) fn submit_once(&mut self, now: MonoMs, entry: Request) {
        let Some(ticket) = entry.submission.ticket else {
            self.hand_out_ticket(now, &entry.submission);
            return;
        };
        if ticket.home != self.options.incarnation {
            self.pass_to_home(now, entry, ticket);
            return;
        }
        let submission = &entry.submission;
        let request = submission.request;
        match self
            .tickets
            .claim(ticket, &submission.account, submission.fingerprint)
        {
            // Once this daemon refuses new work, its unused tickets are closed for ever: it ends
            // as this incarnation, and no other may run them.
            TicketClaim::Run if self.refuses_new(now) => self.refuse_leaving(now, request),
            TicketClaim::Run => {
                self.tickets.begin(ticket, request);
                self.requests.insert(entry);
                self.route(now, request);
            }
            TicketClaim::Wait => {
                self.tickets.attach(ticket, request);
                self.requests.attach(entry);
                let text = "waits for the run under its ticket".to_owned();
                self.decide(now, Subsystem::Requests, Some(request), text);
            }
            TicketClaim::Ended(outcome) => self.answer_ended(now, request, ticket, outcome),
            TicketClaim::Renew => self.hand_out_ticket(now, submission),
            TicketClaim::OtherRequest => {
                let message = "the ticket is for another request: send each under its own";
                self.refuse(now, request, Reason::BadRequest, message, None);
            }
            TicketClaim::Unknown => {
                let message = "this daemon has forgotten the ticket: the request may have run";
                self.answer_unknown(now, request, Reason::TicketLost, message, None);
            }
        }
    }

    fn hand_out_ticket(&mut self, now: MonoMs, submission: &Submission) {
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
            Err(none @ TicketError::OtherRequest) => {
                self.refuse(now, request, Reason::BadRequest, &none.to_string(), None);
                return;
            }
            Err(none @ TicketError::TooMany) => {
                let retry = Some(MORE_TICKETS_MS);
                self.refuse(now, request, Reason::AccountLimit, &none.to_string(), retry);
                return;
            }
        };
        self.finish_with(
            now,
            &Outcome {
                request,
                outcome: OutcomeKind::NotRun,
                reason: Reason::TicketNeeded,
                message: "this may not be repeated: send it again with this ticket".to_owned(),
                retry_after_ms: Some(0),
                ticket: Some(ticket),
            },
        );
    }

    fn pass_to_home(&mut self, now: MonoMs, entry: Request, ticket: Ticket) {
        let request = entry.submission.request;
        let forwarded = entry.submission.forwarded_by.is_some();
        let home = self.members.get(ticket.home);
        let alive = home.filter(|member| member.news.state != MemberState::Dead && !forwarded);
        let Some(member) = alive else {
            // A home that was never heard of may be linked in a moment; a dead one never is.
            let retry = home.is_none().then_some(HOME_RETRY_MS);
            let message = "the ticket's home is gone: the request may have run";
            self.answer_unknown(now, request, Reason::TicketLost, message, retry);
            return;
        };
        let to = member.news.caller_address;
        let text = format!("passed to its home {to}");
        self.requests.forward(entry);
        self.decide(now, Subsystem::Requests, Some(request), text);
        self.act(Action::Forward {
            request,
            to,
            home: ticket.home,
        });
    }

    /// Notes what became of a request that was passed on to its ticket's home.
    pub(super) fn on_forward_ended(&mut self, now: MonoMs, request: RequestId, end: ForwardEnd) {
        let forwarded = self.requests.get(request);
        if !forwarded.is_some_and(|entry| matches!(entry.phase(), Phase::Forwarded)) {
            return;
        }
        match end {
            ForwardEnd::Answered => drop(self.requests.remove(request)),
            // An earlier send of the same request may have reached the home, so that this is never
            // told as not run.
            ForwardEnd::Lost => {
                let message = "the ticket's home gave no answer: the request may have run";
                let retry = Some(HOME_RETRY_MS);
                self.answer_unknown(now, request, Reason::TicketLost, message, retry);
            }
        }
    }

    /// Notes the end of a request in the state of its ticket, and ends those that wait for it.
    pub(super) fn settle_ticket(&mut self, now: MonoMs, entry: &Request, outcome: &Outcome) {
        let Some(ticket) = entry.submission.ticket else {
            return;
        };
        if matches!(entry.phase(), Phase::Attached) {
            self.tickets.detach(ticket, outcome.request);
            return;
        }
        for request in self.tickets.end(now, ticket, outcome) {
            self.requests.remove(request);
            self.answer_ended(now, request, ticket, outcome.clone());
        }
    }

    /// Answers with the outcome of the run under the ticket.
    fn answer_ended(
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
        self.book.set_outcome(&outcome);
        let text = "gets the kept answer of its ticket".to_owned();
        self.decide(now, Subsystem::Requests, Some(request), text);
        self.act(Action::Replay {
            request,
            ticket,
            outcome,
        });
    }

    /// Refuses a request before its ticket is looked at.
    ///
    /// Guards against `not_run` being said of what has run: a request that names a ticket may be
    /// sent again, and refusing the second send says nothing of the first. It is `not_run` only if
    /// the ticket is at home here and nothing ran under it.
    pub(super) fn refuse_at_door(
        &mut self,
        now: MonoMs,
        submission: &Submission,
        reason: Reason,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let request = submission.request;
        if self.close_unused(now, submission) {
            self.refuse(now, request, reason, message, retry_after_ms);
        } else {
            self.answer_unknown(now, request, reason, message, retry_after_ms);
        }
    }

    /// Closes the ticket that a request names. Returns whether nothing ran for the request and
    /// nothing will.
    fn close_unused(&mut self, now: MonoMs, submission: &Submission) -> bool {
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

    fn answer_unknown(
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
