use {
    crate::names::ServiceName,
    std::collections::{HashMap, VecDeque},
    whinlatch_core::MonoMs,
};

/// Length of a slot of the sliding window, in ms.
const SLOT_MS: u64 = 500;
/// Fraction of the published budget that is used. The rest covers arrivals that this instance can't count,
/// such as those at a peer that has died, and the granularity of the slots.
const USED_FRACTION: f64 = 0.6;

/// Published limit of retries over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBudgetRule {
    /// Retries for each request within the window.
    pub ratio: f64,
    /// Retries within the window that are allowed without any requests.
    pub slack: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    start: MonoMs,
    first_attempts: u32,
    retries: u32,
}

/// Limits the retries to each service to this instance's share of the fleet's budget.
///
/// Each instance allows itself the ratio of its own first attempts and an equal share of the free retries.
/// The sum over any set of instances, connected or not, then keeps the limit without shared state.
#[derive(Debug)]
pub struct FleetBudget {
    rule: FleetBudgetRule,
    by_service: HashMap<ServiceName, VecDeque<Slot>>,
}

impl FleetBudget {
    /// Returns an unused budget.
    pub fn new(rule: FleetBudgetRule) -> Self {
        Self {
            rule,
            by_service: HashMap::new(),
        }
    }

    /// Records the arrival of a request for a service.
    pub fn record_request(&mut self, now: MonoMs, service: &ServiceName) {
        self.slot(now, service).first_attempts += 1;
    }

    /// Takes a retry from the budget, whose free retries are shared by `instances`. Returns whether it is
    /// allowed.
    pub fn take_retry(&mut self, now: MonoMs, service: &ServiceName, instances: usize) -> bool {
        self.slot(now, service);
        let slots = &self.by_service[service];
        let first_attempts: u32 = slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u32 = slots.iter().map(|slot| slot.retries).sum();
        let share = self.rule.slack / instances.max(1) as f64;
        let allowed = USED_FRACTION * (self.rule.ratio * f64::from(first_attempts) + share);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.slot(now, service).retries += 1;
        true
    }

    /// Returns a retry that was taken a moment ago and not sent.
    pub fn return_retry(&mut self, now: MonoMs, service: &ServiceName) {
        let slot = self.slot(now, service);
        slot.retries = slot.retries.saturating_sub(1);
    }

    fn slot(&mut self, now: MonoMs, service: &ServiceName) -> &mut Slot {
        let window_ms = self.rule.window_ms;
        let slots = self.by_service.entry(service.clone()).or_default();
        while slots
            .front()
            .is_some_and(|slot| now.since(slot.start) > window_ms)
        {
            slots.pop_front();
        }
        let is_new = slots
            .back()
            .is_none_or(|slot| now.since(slot.start) >= SLOT_MS);
        if is_new {
            slots.push_back(Slot {
                start: now,
                first_attempts: 0,
                retries: 0,
            });
        }
        slots.back_mut().expect("a slot was pushed")
    }
}
