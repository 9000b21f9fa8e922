use {
    crate::time::MonoMs,
    std::collections::{HashMap, VecDeque},
    whinlatch_wire::ids::AccountName,
};

/// Length of one slot of the sliding window, in ms.
const SLOT_MS: u64 = 1_000;
/// Number of slots in the window.
const SLOTS: u64 = 30;
/// Retries that an account is always allowed within the window: the request slots of one engine, so
/// that all requests lost with an engine can be sent elsewhere.
const MIN_ACCOUNT_RETRIES: u64 = 16;
/// Retries that all accounts together are always allowed within the window.
const MIN_TOTAL_RETRIES: u64 = 48;

/// Limits retries to a fraction of first attempts, per account and over all accounts.
///
/// Each daemon limits its own retries to the fraction of its own first attempts. The sum over the
/// fleet then stays within the fraction too, apart from the minimums, without shared state.
#[derive(Debug, Default)]
pub struct RetryBudget {
    all: Window,
    accounts: HashMap<AccountName, Window>,
}

#[derive(Debug, Default)]
struct Window {
    slots: VecDeque<Slot>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    first_attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: MonoMs, account: &AccountName) {
        self.all.slot(now).first_attempts += 1;
        self.accounts
            .entry(account.clone())
            .or_default()
            .slot(now)
            .first_attempts += 1;
    }

    /// Takes a retry out of the budget of `per_mille` of the first attempts. Returns `false`, and takes
    /// nothing, if the account's budget or the common one is spent.
    pub fn try_take(&mut self, now: MonoMs, account: &AccountName, per_mille: u32) -> bool {
        if !self.allows(now, account, per_mille) {
            return false;
        }
        let account_window = self.accounts.entry(account.clone()).or_default();
        account_window.slot(now).retries += 1;
        self.all.slot(now).retries += 1;
        true
    }

    /// Returns whether a retry is within the account's budget and the common one.
    pub fn allows(&mut self, now: MonoMs, account: &AccountName, per_mille: u32) -> bool {
        let account_window = self.accounts.entry(account.clone()).or_default();
        account_window.allows(now, per_mille, MIN_ACCOUNT_RETRIES)
            && self.all.allows(now, per_mille, MIN_TOTAL_RETRIES)
    }

    /// Evicts accounts without attempts in the window.
    pub fn evict_idle(&mut self, now: MonoMs) {
        self.accounts.retain(|_, window| {
            window.evict_expired(now);
            !window.slots.is_empty()
        });
    }
}

impl Window {
    fn allows(&mut self, now: MonoMs, per_mille: u32, minimum: u64) -> bool {
        self.evict_expired(now);
        let first_attempts: u64 = self.slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        retries < minimum.max(first_attempts * u64::from(per_mille) / 1_000)
    }

    fn slot(&mut self, now: MonoMs) -> &mut Slot {
        let number = now.0 / SLOT_MS;
        if self.slots.back().is_none_or(|last| last.number != number) {
            self.evict_expired(now);
            self.slots.push_back(Slot {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn evict_expired(&mut self, now: MonoMs) {
        let oldest = (now.0 / SLOT_MS).saturating_sub(SLOTS - 1);
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
    }
}
