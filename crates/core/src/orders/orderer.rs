use {
    crate::time::MonoMs,
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_wire::{
        ids::{Revision, TargetName},
        record::ServedModel,
        target::{EngineMode, EngineState, Order},
    },
};

/// Time between two reads of an engine's state, in ms.
const READ_EVERY_MS: u64 = 1_000;
/// An order follows from a state read no longer ago than this, in ms.
const FRESH_MS: u64 = 3_000;
/// Engines that one daemon lets load at once, since the weight store's rate is limited.
const LOADING_AT_ONCE: usize = 1;
/// An engine that loads for longer than this no longer keeps others waiting, in ms.
const LONGEST_LOAD_MS: u64 = 600_000;

/// What the records in force ask of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Duty {
    /// The engine.
    pub target: TargetName,
    /// What it must have loaded, and nothing else.
    pub models: Vec<ServedModel>,
}

/// What to do next about an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read its state.
    Read(TargetName),
    /// Give it an order.
    Order(TargetName, Order),
}

/// Brings the engines for which this daemon ranks first to what the records ask for.
///
/// An order names the whole state, so that it may be given twice or by two daemons. It is given
/// only where a fresh read shows another state. Engines that ignore fencing numbers may still
/// take an old order from a daemon that wakes late: the next read shows it and it is corrected. A
/// daemon whose records are older than the fence that an engine has seen gives no order, so that
/// two daemons with different records don't fight.
#[derive(Debug, Default)]
pub struct Orderer {
    engines: BTreeMap<TargetName, Engine>,
}

#[derive(Debug, Default)]
struct Engine {
    asked: Option<MonoMs>,
    state: Option<(MonoMs, EngineState)>,
    loading_since: Option<MonoMs>,
}

impl Orderer {
    /// What is to be done now about the engines of `duties`. `fence_of` gives the revision that an
    /// engine's duty follows from; it is asked for only where the engine's state differs.
    pub fn steps(
        &mut self,
        now: MonoMs,
        duties: &[Duty],
        fence_of: impl Fn(&TargetName) -> Option<Revision>,
    ) -> Vec<Step> {
        self.follow(duties);
        let mut steps = Vec::new();
        let mut loading = self.loading(now);
        for duty in duties {
            let Some(engine) = self.engines.get_mut(&duty.target) else {
                continue;
            };
            if loading < LOADING_AT_ONCE
                && let Some(order) = engine.next_order(now, duty, &fence_of)
            {
                loading += 1;
                engine.ordered(now);
                steps.push(Step::Order(duty.target.clone(), order));
            } else if engine.asked.is_none_or(|at| now.since(at) >= READ_EVERY_MS) {
                engine.asked = Some(now);
                steps.push(Step::Read(duty.target.clone()));
            }
        }
        steps
    }

    /// Takes in the state of an engine.
    pub fn read(&mut self, now: MonoMs, target: &TargetName, state: EngineState) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let since = engine.loading_since;
        engine.loading_since = state.busy.then(|| since.unwrap_or(now));
        engine.state = Some((now, state));
    }

    /// Notes that an order was answered, so that the state is read again at once.
    pub fn answered(&mut self, target: &TargetName) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.asked = None;
        }
    }

    /// Notes that an engine answers no reads: it keeps no other waiting.
    pub fn unreachable(&mut self, target: &TargetName) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.state = None;
            engine.loading_since = None;
        }
    }

    /// Forgets all states, as after a pause.
    pub fn forget(&mut self) {
        self.engines.clear();
    }

    fn follow(&mut self, duties: &[Duty]) {
        let named: BTreeSet<&TargetName> = duties.iter().map(|duty| &duty.target).collect();
        self.engines.retain(|target, _| named.contains(target));
        for duty in duties {
            if !self.engines.contains_key(&duty.target) {
                self.engines.insert(duty.target.clone(), Engine::default());
            }
        }
    }

    fn loading(&self, now: MonoMs) -> usize {
        let since = self.engines.values().filter_map(|e| e.loading_since);
        let loading = since.filter(|since| now.since(*since) < LONGEST_LOAD_MS);
        loading.count()
    }
}

impl Engine {
    fn next_order(
        &self,
        now: MonoMs,
        duty: &Duty,
        fence_of: impl Fn(&TargetName) -> Option<Revision>,
    ) -> Option<Order> {
        let (read, state) = self.state.as_ref()?;
        let fresh = now.since(*read) <= FRESH_MS;
        if !fresh || state.busy || holds(state, duty) {
            return None;
        }
        let fence = fence_of(&duty.target)?;
        if state.fence > fence {
            return None;
        }
        Some(Order {
            fence,
            expect_incarnation: state.incarnation,
            models: duty.models.clone(),
            mode: EngineMode::Both,
        })
    }

    /// Counts as loading until a later read shows otherwise.
    fn ordered(&mut self, now: MonoMs) {
        self.state = None;
        self.asked = Some(now);
        self.loading_since = Some(now);
    }
}

fn holds(state: &EngineState, duty: &Duty) -> bool {
    let loaded: BTreeSet<&ServedModel> = state.models.iter().collect();
    let wanted: BTreeSet<&ServedModel> = duty.models.iter().collect();
    state.mode == EngineMode::Both && loaded == wanted
}
