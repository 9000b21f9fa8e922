//! Requests that may not be repeated: only the home of the ticket may run one.

use {
    super::Core,
    crate::{
        action::Action,
        decisions::Part,
        requests::{Request, TicketState},
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{RequestId, Ticket},
        peer::MemberState,
    },
};

impl Core {
    /// Takes in a request that may not be repeated: only the home of its ticket may run it.
    pub(super) fn submit_once(&mut self, now: MonoMs, entry: Request) {
        let request = entry.submission.request;
        let Some(ticket) = entry.submission.ticket else {
            self.hand_out_ticket(now, &entry);
            return;
        };
        if ticket.home != self.options.incarnation {
            self.pass_to_home(
                now,
                request,
                ticket,
                entry.submission.forwarded_by.is_some(),
            );
            return;
        }
        match self.tickets.state(ticket).cloned() {
            Some(TicketState::Issued) => {
                self.tickets
                    .set(now, ticket, TicketState::InFlight(request));
                self.requests.insert(entry);
                self.route(now, request);
            }
            Some(TicketState::InFlight(_)) => {
                let message = "the ticket's request is still in flight: ask again with it";
                self.answer_unknown(now, request, Reason::TicketLost, message);
            }
            Some(TicketState::Ended(mut outcome)) => {
                outcome.request = request;
                self.act(Action::Replay {
                    request,
                    ticket,
                    outcome,
                });
            }
            None => {
                let message = "this daemon has forgotten the ticket: the request may have run";
                self.answer_unknown(now, request, Reason::TicketLost, message);
            }
        }
    }

    fn hand_out_ticket(&mut self, now: MonoMs, entry: &Request) {
        let submission = &entry.submission;
        let key = submission.idempotency_key.as_deref();
        let ticket = self.tickets.issue(now, &submission.account, key);
        self.finish_with(
            now,
            Outcome {
                request: submission.request,
                outcome: OutcomeKind::NotRun,
                reason: Reason::TicketNeeded,
                message: "this may not be repeated: send it again with this ticket".to_owned(),
                retry_after_ms: Some(0),
                ticket: Some(ticket),
            },
        );
    }

    fn pass_to_home(&mut self, now: MonoMs, request: RequestId, ticket: Ticket, forwarded: bool) {
        let home = self.members.get(ticket.home);
        let alive = home.filter(|member| member.news.state != MemberState::Dead && !forwarded);
        let Some(member) = alive else {
            let message = "the ticket's home is gone: the request may have run";
            self.answer_unknown(now, request, Reason::TicketLost, message);
            return;
        };
        let to = member.news.caller_address;
        self.decide(
            now,
            Part::Requests,
            Some(request),
            format!("passed to its home {to}"),
        );
        self.act(Action::Forward {
            request,
            to,
            home: ticket.home,
        });
    }

    fn answer_unknown(&mut self, now: MonoMs, request: RequestId, reason: Reason, message: &str) {
        self.finish(now, request, OutcomeKind::Unknown, reason, message, None);
    }
}
