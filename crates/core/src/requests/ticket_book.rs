use {
    crate::time::MonoMs,
    std::collections::HashMap,
    whinlatch_wire::{
        caller::Outcome,
        ids::{AccountName, Incarnation, RequestId, Ticket},
    },
};

/// How long an ended ticket's outcome is kept, in ms.
const KEEP_MS: u64 = 600_000;

/// State of a ticket at its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// Handed out; nothing was sent to a target.
    Issued,
    /// The request is in flight.
    InFlight(RequestId),
    /// The request is over.
    Ended(Outcome),
}

/// The tickets that this incarnation issued. Only it may dispatch them: an incarnation never comes
/// back, so once it is gone no one runs the request again.
#[derive(Debug)]
pub struct TicketBook {
    home: Incarnation,
    next: u64,
    tickets: HashMap<u64, Entry>,
    by_key: HashMap<(AccountName, String), u64>,
}

#[derive(Debug)]
struct Entry {
    state: TicketState,
    key: Option<(AccountName, String)>,
    touched: MonoMs,
}

impl TicketBook {
    /// An empty book of a new incarnation.
    pub fn new(home: Incarnation) -> Self {
        Self {
            home,
            next: 1,
            tickets: HashMap::new(),
            by_key: HashMap::new(),
        }
    }

    /// Issues a ticket; the same account and key get the same ticket again.
    pub fn issue(&mut self, now: MonoMs, account: &AccountName, key: Option<&str>) -> Ticket {
        let key = key.map(|key| (account.clone(), key.to_owned()));
        if let Some(number) = key.as_ref().and_then(|key| self.by_key.get(key)) {
            return Ticket {
                home: self.home,
                number: *number,
            };
        }
        let number = self.next;
        self.next += 1;
        if let Some(key) = &key {
            self.by_key.insert(key.clone(), number);
        }
        self.tickets.insert(
            number,
            Entry {
                state: TicketState::Issued,
                key,
                touched: now,
            },
        );
        Ticket {
            home: self.home,
            number,
        }
    }

    /// State of a ticket; `None` if another incarnation issued it or it was forgotten.
    pub fn state(&self, ticket: Ticket) -> Option<&TicketState> {
        if ticket.home != self.home {
            return None;
        }
        self.tickets.get(&ticket.number).map(|entry| &entry.state)
    }

    /// Changes the state of a ticket of this home.
    pub fn set(&mut self, now: MonoMs, ticket: Ticket, state: TicketState) {
        if let Some(entry) = self.tickets.get_mut(&ticket.number) {
            entry.state = state;
            entry.touched = now;
        }
    }

    /// Forgets tickets that ended or were issued long ago. Returns them.
    pub fn forget_old(&mut self, now: MonoMs) -> Vec<Ticket> {
        let home = self.home;
        let old: Vec<u64> = self
            .tickets
            .iter()
            .filter(|(_, entry)| !matches!(entry.state, TicketState::InFlight(_)))
            .filter(|(_, entry)| now.since(entry.touched) > KEEP_MS)
            .map(|(number, _)| *number)
            .collect();
        for number in &old {
            if let Some(key) = self.tickets.remove(number).and_then(|entry| entry.key) {
                self.by_key.remove(&key);
            }
        }
        old.into_iter()
            .map(|number| Ticket { home, number })
            .collect()
    }
}
