use {
    super::TicketError,
    std::collections::HashMap,
    whinlatch_wire::ids::{AccountName, Incarnation, Ticket},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Maximum number of idempotency keys of one account.
const MAX_PER_ACCOUNT: u32 = 50_000;
/// Maximum number of idempotency keys of all accounts.
const MAX_KEYS: usize = 400_000;

/// Ticket number and request fingerprint that an idempotency key was used with.
#[derive(Debug, Clone, Copy)]
pub(super) struct KeyUse {
    pub(super) number: u64,
    pub(super) fingerprint: u64,
}

impl KeyUse {
    pub(super) fn ticket_for(
        self,
        home: Incarnation,
        fingerprint: u64,
    ) -> Result<Ticket, TicketError> {
        if self.fingerprint != fingerprint {
            return Err(TicketError::OtherRequest);
        }
        Ok(Ticket {
            home,
            number: self.number,
        })
    }
}

/// Idempotency keys for which this daemon issued tickets. A key under whose ticket a request may have run is
/// kept until the process ends.
///
/// Guards against a second run long after the first: if a key were evicted together with its ticket, a
/// caller that retries would get a new ticket and the request would run again. Keys therefore outlive
/// their tickets, as hashes. At the limit, new keys are refused; none is evicted.
#[derive(Debug)]
pub(super) struct IssuedKeys {
    secret: u64,
    keys: HashMap<u64, KeyUse>,
    per_account: HashMap<AccountName, u32>,
}

impl IssuedKeys {
    pub(super) fn new(secret: u64) -> Self {
        Self {
            secret,
            keys: HashMap::new(),
            per_account: HashMap::new(),
        }
    }

    /// Returns the hash of a key, seeded with its account.
    pub(super) fn hash_of(&self, account: &AccountName, key: &str) -> u64 {
        let seed = xxh3_64_with_seed(account.as_str().as_bytes(), self.secret);
        xxh3_64_with_seed(key.as_bytes(), seed)
    }

    pub(super) fn get(&self, key: u64) -> Option<KeyUse> {
        self.keys.get(&key).copied()
    }

    pub(super) fn is_full(&self, account: &AccountName) -> bool {
        let count = self.per_account.get(account).copied().unwrap_or(0);
        count >= MAX_PER_ACCOUNT || self.keys.len() >= MAX_KEYS
    }

    pub(super) fn insert(&mut self, key: u64, account: &AccountName, known: KeyUse) {
        self.keys.insert(key, known);
        *self.per_account.entry(account.clone()).or_default() += 1;
    }

    pub(super) fn remove(&mut self, key: u64, account: &AccountName) {
        if self.keys.remove(&key).is_none() {
            return;
        }
        if let Some(count) = self.per_account.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.per_account.remove(account);
            }
        }
    }
}
