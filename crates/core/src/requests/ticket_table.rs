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

/// How long the outcome of an ended ticket is kept, in ms. No deadline is longer.
const ENDED_RETENTION_MS: u64 = 600_000;
/// How long an unused ticket is kept, in ms.
const UNUSED_RETENTION_MS: u64 = 120_000;
/// Maximum number of tickets of one account.
const MAX_PER_ACCOUNT: u32 = 5_000;

/// State of a ticket at its home, the daemon that issued it.
///
/// `Issued` becomes `InFlight`, and then `Ended`, or `Closed` if the outcome is `not_run`. An unused
/// ticket becomes `Closed` directly.
///
/// `Closed` guards against a run after `not_run` was reported: a duplicate of the request may be
/// delayed at another daemon and would run after its caller received `not_run`. No request is
/// ever dispatched under a closed ticket; a caller that retries gets a new one.
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

/// How a request that names a ticket proceeds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketClaim {
    /// It runs: nothing has run under the ticket.
    Run,
    /// It waits for the request that is running under the ticket.
    Wait,
    /// It gets the outcome of the run.
    Ended(Outcome),
    /// It needs a new ticket: nothing ran under this one and nothing will.
    Renew,
    /// It is refused: the ticket was issued for another request of the same account.
    OtherRequest,
    /// Its outcome is unknown: the ticket was issued by another incarnation or to another account, has
    /// been evicted, or never existed. The cases look the same to callers, so that guessing ticket
    /// numbers reveals nothing.
    Unknown,
}

/// Reason for which no ticket is issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The idempotency key was used with another request.
    #[error("the idempotency key was used with another request: use a new key for each request")]
    OtherRequest,
    /// The account has as many tickets or idempotency keys as one account may.
    #[error("the account has too many tickets at this daemon: use those or another entry")]
    TooMany,
}

/// Tickets issued by this incarnation. Only this incarnation dispatches requests under them. Since an
/// incarnation never returns, no request runs again under its tickets once it has ended.
#[derive(Debug)]
pub struct TicketTable {
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

impl TicketTable {
    /// Creates an empty table for the incarnation `home`. `secret` must be random: it makes ticket
    /// numbers hard to guess and seeds the hashes of idempotency keys.
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

    /// Issues a ticket. The same account and key get the same ticket again, unless it is closed.
    ///
    /// # Errors
    /// [`TicketError`] if the key was used with another request, or the account has too many tickets or
    /// keys.
    pub fn issue(
        &mut self,
        now: MonoMs,
        account: &AccountName,
        key: Option<&str>,
        fingerprint: u64,
    ) -> Result<Ticket, TicketError> {
        let key = key.map(|key| self.keys.hash_of(account, key));
        if let Some(key) = key {
            self.detach_closed_key(key, fingerprint);
        }
        if let Some(known) = key.and_then(|key| self.keys.get(key)) {
            return known.ticket_for(self.home, fingerprint);
        }
        let count = self.per_account.get(account).copied().unwrap_or(0);
        if count >= MAX_PER_ACCOUNT || (key.is_some() && self.keys.is_full(account)) {
            return Err(TicketError::TooMany);
        }
        let number = self.next_number();
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
        self.expire_at(number, Some(now + UNUSED_RETENTION_MS));
        Ok(Ticket {
            home: self.home,
            number,
        })
    }

    /// Returns how a request of `account` that names `ticket` proceeds. Changes nothing.
    pub fn claim(&self, ticket: Ticket, account: &AccountName, fingerprint: u64) -> TicketClaim {
        let entry = match self.tickets.get(&ticket.number) {
            Some(entry) if ticket.home == self.home && entry.account == *account => entry,
            _ => return TicketClaim::Unknown,
        };
        if entry.fingerprint != fingerprint {
            return TicketClaim::OtherRequest;
        }
        match &entry.state {
            TicketState::Issued => TicketClaim::Run,
            TicketState::InFlight { .. } => TicketClaim::Wait,
            TicketState::Ended(outcome) => TicketClaim::Ended(outcome.clone()),
            TicketState::Closed => TicketClaim::Renew,
        }
    }

    /// Marks a ticket as in flight with the request `runner`. It doesn't expire before the run ends.
    pub fn begin(&mut self, ticket: Ticket, runner: RequestId) {
        if let Some(entry) = self.tickets.get_mut(&ticket.number) {
            entry.state = TicketState::InFlight {
                runner,
                waiting: Vec::new(),
            };
            self.expire_at(ticket.number, None);
        }
    }

    /// Adds a request that waits for the outcome of the run.
    pub fn attach(&mut self, ticket: Ticket, request: RequestId) {
        if let Some(TicketState::InFlight { waiting, .. }) = self.state_mut(ticket) {
            waiting.push(request);
        }
    }

    /// Removes a request that no longer waits.
    pub fn detach(&mut self, ticket: Ticket, request: RequestId) {
        if let Some(TicketState::InFlight { waiting, .. }) = self.state_mut(ticket) {
            waiting.retain(|other| *other != request);
        }
    }

    /// Ends the run of the request that `outcome` names, and returns the requests that wait for it.
    /// Does nothing if the ticket is in flight with another request.
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
        self.expire_at(ticket.number, Some(now + ENDED_RETENTION_MS));
        waiting
    }

    /// Closes an unused ticket, before `not_run` is reported for its request.
    pub fn close(&mut self, now: MonoMs, ticket: Ticket) {
        if let Some(state @ TicketState::Issued) = self.state_mut(ticket) {
            *state = TicketState::Closed;
            self.expire_at(ticket.number, Some(now + ENDED_RETENTION_MS));
        }
    }

    /// Detaches a key from its closed ticket, so that the same request can get a new ticket.
    fn detach_closed_key(&mut self, key: u64, fingerprint: u64) {
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

    /// Evicts expired tickets. Returns those that had ended, whose kept answers can be dropped.
    pub fn evict_expired(&mut self, now: MonoMs) -> Vec<Ticket> {
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
                // Nothing ran under the ticket of the key, and with the ticket gone nothing will.
                (_, Some(key)) => self.keys.remove(key, &entry.account),
                (_, None) => {}
            }
        }
        ended
    }

    fn release(&mut self, account: &AccountName) {
        if let Some(count) = self.per_account.get_mut(account) {
            *count -= 1;
            if *count == 0 {
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

    /// Returns a ticket number that is unique and can't be predicted from earlier ones: the ticket
    /// counter, shifted by the secret and mapped by a permutation.
    fn next_number(&mut self) -> u64 {
        self.issued += 1;
        permute(self.issued.wrapping_add(self.secret))
    }
}

/// The splitmix64 finalizer, a bijection on 64-bit numbers.
fn permute(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
