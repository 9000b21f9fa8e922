use {
    super::{IssuedKeys, KeyUse},
    crate::time::MonoMs,
    std::collections::{BTreeSet, HashMap},
    thiserror::Error,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind},
        ids::{AccountName, Incarnation, RequestId, Ticket},
    },
};

/// How long an ended ticket's outcome is kept, in ms. No deadline is longer.
const KEEP_ENDED_MS: u64 = 600_000;
/// How long a ticket that was not used is kept, in ms.
const KEEP_UNUSED_MS: u64 = 120_000;
/// Tickets kept for one account.
const MAX_PER_ACCOUNT: u32 = 5_000;

/// State of a ticket at its home.
///
/// `Issued` leads to `InFlight`, and that to `Ended`; or to `Closed` where the outcome is `not_run`.
///
/// `Closed` guards against a run after `not_run` was said: a duplicate of the request may still be on
/// its way, held up at another daemon, and would run once the caller has been told otherwise. No
/// request is ever dispatched under a closed ticket; whoever asks again gets a fresh one.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TicketState {
    Issued,
    InFlight {
        runner: RequestId,
        waiting: Vec<RequestId>,
    },
    Ended(Outcome),
    Closed,
}

/// What a request that names a ticket is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// Run: nothing has run under the ticket.
    Run,
    /// Wait for the request that runs.
    Wait,
    /// Take the outcome of the run.
    Ended(Outcome),
    /// Ask for a fresh ticket: nothing ran under this one and nothing will.
    Renew,
    /// The ticket is for another request of the same account.
    OtherRequest,
    /// The ticket was issued by another incarnation or to another account, or is forgotten, or
    /// never was. These can't be told apart, so that a guess teaches nothing.
    Unknown,
}

/// Why no ticket is issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoTicket {
    /// The idempotency key stands for another request.
    #[error("the idempotency key was used with another request: use a key once")]
    OtherRequest,
    /// The account holds too many tickets.
    #[error("the account holds too many tickets here: use those or another entry")]
    TooMany,
}

/// The tickets that this incarnation issued. Only it may dispatch them: an incarnation never comes
/// back, so once it is gone no one runs the request again.
#[derive(Debug)]
pub struct TicketBook {
    home: Incarnation,
    issued: u64,
    secret: u64,
    tickets: HashMap<u64, Entry>,
    by_expiry: BTreeSet<(MonoMs, u64)>,
    per_account: HashMap<AccountName, u32>,
    keys: IssuedKeys,
}

#[derive(Debug)]
struct Entry {
    state: TicketState,
    account: AccountName,
    fingerprint: u64,
    key: Option<u64>,
    expiry: Option<MonoMs>,
}

impl TicketBook {
    /// An empty book of a new incarnation; `secret` is drawn at random.
    pub fn new(home: Incarnation, secret: u64) -> Self {
        Self {
            home,
            issued: 0,
            secret,
            tickets: HashMap::new(),
            by_expiry: BTreeSet::new(),
            per_account: HashMap::new(),
            keys: IssuedKeys::new(secret),
        }
    }

    /// Issues a ticket; the same account and key get the same ticket again, unless it is closed.
    ///
    /// # Errors
    /// [`NoTicket`] if the key stands for another request, or the account holds too many.
    pub fn issue(
        &mut self,
        now: MonoMs,
        account: &AccountName,
        key: Option<&str>,
        fingerprint: u64,
    ) -> Result<Ticket, NoTicket> {
        let key = key.map(|key| self.keys.hash_of(account, key));
        if let Some(key) = key {
            self.renew(key, fingerprint);
        }
        if let Some(known) = key.and_then(|key| self.keys.get(key)) {
            return known.ticket_for(self.home, fingerprint);
        }
        let held = self.per_account.get(account).copied().unwrap_or(0);
        if held >= MAX_PER_ACCOUNT || (key.is_some() && self.keys.is_full(account)) {
            return Err(NoTicket::TooMany);
        }
        let number = self.draw_number();
        if let Some(key) = key {
            let known = KeyUse {
                number,
                fingerprint,
            };
            self.keys.insert(key, account, known);
        }
        *self.per_account.entry(account.clone()).or_default() += 1;
        let entry = Entry {
            state: TicketState::Issued,
            account: account.clone(),
            fingerprint,
            key,
            expiry: None,
        };
        self.tickets.insert(number, entry);
        self.expire_at(number, Some(now + KEEP_UNUSED_MS));
        Ok(Ticket {
            home: self.home,
            number,
        })
    }

    /// What a request of `account` that names `ticket` is to do.
    pub fn claim(&self, ticket: Ticket, account: &AccountName, fingerprint: u64) -> Claim {
        let entry = match self.tickets.get(&ticket.number) {
            Some(entry) if ticket.home == self.home && entry.account == *account => entry,
            _ => return Claim::Unknown,
        };
        if entry.fingerprint != fingerprint {
            return Claim::OtherRequest;
        }
        match &entry.state {
            TicketState::Issued => Claim::Run,
            TicketState::InFlight { .. } => Claim::Wait,
            TicketState::Ended(outcome) => Claim::Ended(outcome.clone()),
            TicketState::Closed => Claim::Renew,
        }
    }

    /// Marks a claimed ticket as in flight.
    pub fn begin(&mut self, ticket: Ticket, runner: RequestId) {
        if let Some(entry) = self.tickets.get_mut(&ticket.number) {
            entry.state = TicketState::InFlight {
                runner,
                waiting: Vec::new(),
            };
            self.expire_at(ticket.number, None);
        }
    }

    /// Adds a request to those that wait for the run's outcome.
    pub fn attach(&mut self, ticket: Ticket, request: RequestId) {
        if let Some(TicketState::InFlight { waiting, .. }) = self.state_mut(ticket) {
            waiting.push(request);
        }
    }

    /// Takes out a request that no longer waits.
    pub fn detach(&mut self, ticket: Ticket, request: RequestId) {
        if let Some(TicketState::InFlight { waiting, .. }) = self.state_mut(ticket) {
            waiting.retain(|waits| *waits != request);
        }
    }

    /// Ends the run of `runner`. Returns the requests that wait for its outcome.
    pub fn end(&mut self, now: MonoMs, ticket: Ticket, outcome: &Outcome) -> Vec<RequestId> {
        let Some(entry) = self.tickets.get_mut(&ticket.number) else {
            return Vec::new();
        };
        let waiting = match &mut entry.state {
            TicketState::InFlight { runner, waiting } if *runner == outcome.request => {
                std::mem::take(waiting)
            }
            _ => return Vec::new(),
        };
        entry.state = match outcome.outcome {
            OutcomeKind::NotRun => TicketState::Closed,
            OutcomeKind::Completed | OutcomeKind::Unknown => TicketState::Ended(outcome.clone()),
        };
        self.expire_at(ticket.number, Some(now + KEEP_ENDED_MS));
        waiting
    }

    /// Closes a ticket under which nothing ran, before `not_run` is said of it.
    pub fn close(&mut self, now: MonoMs, ticket: Ticket) {
        if let Some(state @ TicketState::Issued) = self.state_mut(ticket) {
            *state = TicketState::Closed;
            self.expire_at(ticket.number, Some(now + KEEP_ENDED_MS));
        }
    }

    /// Takes a key off its closed ticket, so that the same request gets a fresh one.
    fn renew(&mut self, key: u64, fingerprint: u64) {
        let Some(known) = self.keys.get(key) else {
            return;
        };
        let Some(entry) = self.tickets.get_mut(&known.number) else {
            return;
        };
        if entry.state == TicketState::Closed && known.fingerprint == fingerprint {
            entry.key = None;
            let account = entry.account.clone();
            self.keys.remove(key, &account);
        }
    }

    /// Forgets tickets that ended or were issued long ago. Returns those that ended.
    pub fn forget_old(&mut self, now: MonoMs) -> Vec<Ticket> {
        let mut ended = Vec::new();
        while let Some((expiry, number)) = self.by_expiry.first().copied()
            && expiry <= now
        {
            self.by_expiry.pop_first();
            let Some(entry) = self.tickets.remove(&number) else {
                continue;
            };
            self.release(&entry.account);
            match (&entry.state, entry.key) {
                (TicketState::Ended(_), _) => ended.push(Ticket {
                    home: self.home,
                    number,
                }),
                // Nothing ran under the key's ticket, and nothing can any more.
                (_, Some(key)) => self.keys.remove(key, &entry.account),
                (_, None) => {}
            }
        }
        ended
    }

    fn release(&mut self, account: &AccountName) {
        if let Some(held) = self.per_account.get_mut(account) {
            *held -= 1;
            if *held == 0 {
                self.per_account.remove(account);
            }
        }
    }

    fn state_mut(&mut self, ticket: Ticket) -> Option<&mut TicketState> {
        self.tickets
            .get_mut(&ticket.number)
            .map(|entry| &mut entry.state)
    }

    fn expire_at(&mut self, number: u64, expiry: Option<MonoMs>) {
        let Some(entry) = self.tickets.get_mut(&number) else {
            return;
        };
        let former = std::mem::replace(&mut entry.expiry, expiry);
        if let Some(former) = former {
            self.by_expiry.remove(&(former, number));
        }
        if let Some(expiry) = expiry {
            self.by_expiry.insert((expiry, number));
        }
    }

    /// A number that was never drawn before and doesn't follow from the last: a permutation of the
    /// count of tickets, so that it never comes twice, shifted by a secret.
    fn draw_number(&mut self) -> u64 {
        self.issued += 1;
        permute(self.issued.wrapping_add(self.secret))
    }
}

/// The finalizer of splitmix64, which maps the 64-bit numbers one to one.
fn permute(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
