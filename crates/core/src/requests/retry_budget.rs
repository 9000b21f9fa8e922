use {
    crate::time::MonoMs,
    std::collections::{HashMap, VecDeque},
    whinlatch_wire::ids::AccountName,
};

/// Length of one slot of the window, in ms.
const SLOT_MS: u64 = 1_000;
/// Slots of the window.
const SLOTS: u64 = 30;
/// Retries that an account may always have within the window: the slots of one engine, so that
/// what was lost with it can go elsewhere.
const ACCOUNT_FLOOR: u64 = 16;
/// Retries that all accounts together may always have within the window.
const FLEET_FLOOR: u64 = 48;

/// Keeps retries to a share of first attempts, for each account and for all of them.
///
/// Each daemon holds its own retries to the share of its own first attempts, so that the sum over
/// the fleet keeps the share too, but for the floors, without any state that is shared.
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
    firsts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn first(&mut self, now: MonoMs, account: &AccountName) {
        self.all.slot(now).firsts += 1;
        self.accounts
            .entry(account.clone())
            .or_default()
            .slot(now)
            .firsts += 1;
    }

    /// Takes a retry out of the budget. Returns `false` if the budget is spent.
    pub fn take(&mut self, now: MonoMs, account: &AccountName, per_mille: u32) -> bool {
        let own = self.accounts.entry(account.clone()).or_default();
        if !own.allows(now, per_mille, ACCOUNT_FLOOR)
            || !self.all.allows(now, per_mille, FLEET_FLOOR)
        {
            return false;
        }
        own.slot(now).retries += 1;
        self.all.slot(now).retries += 1;
        true
    }

    /// Drops accounts without attempts in the window.
    pub fn forget_idle(&mut self, now: MonoMs) {
        self.accounts.retain(|_, window| {
            window.drop_old(now);
            !window.slots.is_empty()
        });
    }
}

impl Window {
    fn allows(&mut self, now: MonoMs, per_mille: u32, floor: u64) -> bool {
        self.drop_old(now);
        let firsts: u64 = self.slots.iter().map(|slot| slot.firsts).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        retries < floor.max(firsts * u64::from(per_mille) / 1_000)
    }

    fn slot(&mut self, now: MonoMs) -> &mut Slot {
        let number = now.0 / SLOT_MS;
        if self.slots.back().is_none_or(|last| last.number != number) {
            self.drop_old(now);
            self.slots.push_back(Slot {
                number,
                firsts: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn drop_old(&mut self, now: MonoMs) {
        let oldest = (now.0 / SLOT_MS).saturating_sub(SLOTS - 1);
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
    }
}
