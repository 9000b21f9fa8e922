use {
    crate::time::MonoMs,
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_wire::{
        ids::{Revision, TargetName},
        record::ServedModel,
        target::{EngineMode, EngineState, Order},
    },
};

/// Interval between reads of an engine's state, in ms.
const STATE_READ_INTERVAL_MS: u64 = 1_000;
/// Maximum age of a state that an order is based on, in ms.
const MAX_STATE_AGE_MS: u64 = 3_000;
/// Engines that one daemon lets load at the same time, since the rate of the weight store is limited.
const MAX_CONCURRENT_LOADS: usize = 1;
/// Time after which a loading engine no longer blocks the loads of others, in ms.
const LOAD_TIMEOUT_MS: u64 = 600_000;

/// State that the records in force require of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Name of the engine.
    pub target: TargetName,
    /// Models that it must have loaded, and no others.
    pub models: Vec<ServedModel>,
}

/// Next call to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// Read the state of the engine.
    Read(TargetName),
    /// Send the engine an order.
    Order(TargetName, Order),
}

/// Plans the orders that bring engines to the state that the records require.
///
/// An order states the complete desired state, so it is harmless if it is sent twice or by two
/// daemons. It is sent only if a recent read shows another state. An engine that ignores fencing
/// numbers may still accept an outdated order from a daemon that resumes late; the next read shows
/// this, and a new order corrects it. A daemon whose records are older than the fence that an engine
/// has seen sends no order, so that daemons with different records don't override each other forever.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    engines: BTreeMap<TargetName, Engine>,
}

#[derive(Debug, Default)]
struct Engine {
    last_read_at: Option<MonoMs>,
    state: Option<(MonoMs, EngineState)>,
    loading_since: Option<MonoMs>,
}

impl OrderPlanner {
    /// Returns the calls that are due for the engines in `desired`; other engines are dropped.
    /// `fence_of` returns the record revision that defines an engine's desired state. It is only called
    /// where the engine's state differs.
    pub fn steps(
        &mut self,
        now: MonoMs,
        desired: &[DesiredState],
        fence_of: impl Fn(&TargetName) -> Option<Revision>,
    ) -> Vec<OrderStep> {
        self.track_engines(desired);
        let mut steps = Vec::new();
        let mut loading = self.count_loading(now);
        for wanted in desired {
            let Some(engine) = self.engines.get_mut(&wanted.target) else {
                continue;
            };
            if loading < MAX_CONCURRENT_LOADS
                && let Some(order) = engine.next_order(now, wanted, &fence_of)
            {
                loading += 1;
                engine.mark_ordered(now);
                steps.push(OrderStep::Order(wanted.target.clone(), order));
            } else if engine
                .last_read_at
                .is_none_or(|at| now.since(at) >= STATE_READ_INTERVAL_MS)
            {
                engine.last_read_at = Some(now);
                steps.push(OrderStep::Read(wanted.target.clone()));
            }
        }
        steps
    }

    /// Records the state of an engine that a read returned.
    pub fn on_state(&mut self, now: MonoMs, target: &TargetName, state: EngineState) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let since = engine.loading_since;
        engine.loading_since = state.busy.then(|| since.unwrap_or(now));
        engine.state = Some((now, state));
    }

    /// Records that an engine answered an order, so that its state is read again immediately.
    pub fn on_order_answered(&mut self, target: &TargetName) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.last_read_at = None;
        }
    }

    /// Records that an engine doesn't answer reads. It no longer blocks the loads of others.
    pub fn on_unreachable(&mut self, target: &TargetName) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.state = None;
            engine.loading_since = None;
        }
    }

    /// Drops all states, which are outdated after a pause of the process.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    fn track_engines(&mut self, desired: &[DesiredState]) {
        let named: BTreeSet<&TargetName> = desired.iter().map(|wanted| &wanted.target).collect();
        self.engines.retain(|target, _| named.contains(target));
        for wanted in desired {
            if !self.engines.contains_key(&wanted.target) {
                self.engines
                    .insert(wanted.target.clone(), Engine::default());
            }
        }
    }

    fn count_loading(&self, now: MonoMs) -> usize {
        let since = self.engines.values().filter_map(|e| e.loading_since);
        let loading = since.filter(|since| now.since(*since) < LOAD_TIMEOUT_MS);
        loading.count()
    }
}

impl Engine {
    fn next_order(
        &self,
        now: MonoMs,
        wanted: &DesiredState,
        fence_of: impl Fn(&TargetName) -> Option<Revision>,
    ) -> Option<Order> {
        let (read_at, state) = self.state.as_ref()?;
        let fresh = now.since(*read_at) <= MAX_STATE_AGE_MS;
        if !fresh || state.busy || matches_desired(state, wanted) {
            return None;
        }
        let fence = fence_of(&wanted.target)?;
        if state.fence > fence {
            return None;
        }
        Some(Order {
            fence,
            expect_incarnation: state.incarnation,
            models: wanted.models.clone(),
            mode: EngineMode::Both,
        })
    }

    /// Drops the known state, and counts the engine as loading until a later read shows otherwise.
    fn mark_ordered(&mut self, now: MonoMs) {
        self.state = None;
        self.last_read_at = Some(now);
        self.loading_since = Some(now);
    }
}

fn matches_desired(state: &EngineState, desired: &DesiredState) -> bool {
    let loaded: BTreeSet<&ServedModel> = state.models.iter().collect();
    let wanted: BTreeSet<&ServedModel> = desired.models.iter().collect();
    state.mode == EngineMode::Both && loaded == wanted
}
