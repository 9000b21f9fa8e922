//! Orders to engines: they reach the state that the records require, also if two daemons send orders.

mod requests_fixture;

use {
    requests_fixture::{Bench, ENGINES, engine, envelope, records, run_of},
    std::collections::BTreeMap,
    whinlatch_core::{
        Action, Event, MonoMs, TargetCall, TargetEvent,
        orders::{DesiredState, OrderPlanner, OrderStep},
    },
    whinlatch_wire::{
        ids::{Incarnation, Revision},
        peer::{MemberState, News},
        record::ServedModel,
        target::{EngineMode, EngineState, Order, OrderVerdict},
    },
};

/// Time that a fake engine takes to load, in ms.
const LOAD_MS: u64 = 2_000;
/// Time within which the effect of an outdated order is corrected, in ms.
const CORRECTION_MS: u64 = 2_000 + 2 * LOAD_MS;

fn served(version: u32) -> Vec<ServedModel> {
    vec![ServedModel {
        model: "m".into(),
        adapter: None,
        version,
    }]
}

/// A fake engine that ignores fences, as some engines do.
struct Engine {
    state: EngineState,
    loading: Option<(u64, Vec<ServedModel>)>,
}

impl Engine {
    fn order(&mut self, now: u64, order: &Order) -> OrderVerdict {
        if self.state.busy {
            return OrderVerdict::Busy;
        }
        self.state.fence = self.state.fence.max(order.fence);
        if self.state.models == order.models {
            return OrderVerdict::Holds;
        }
        self.state.busy = true;
        self.state.orders_begun += 1;
        self.loading = Some((now + LOAD_MS, order.models.clone()));
        OrderVerdict::Begun
    }

    fn finish_load(&mut self, now: u64) {
        if let Some((_, models)) = self.loading.take_if(|(until, _)| *until <= now) {
            self.state.models = models;
            self.state.busy = false;
        }
    }
}

fn engine_state(name: &str) -> EngineState {
    EngineState {
        incarnation: run_of(name),
        models: served(1),
        mode: EngineMode::Both,
        busy: false,
        fence: Revision(0),
        orders_begun: 0,
    }
}

struct Fleet {
    daemons: Vec<Bench>,
    engines: BTreeMap<String, Engine>,
    orders: Vec<(String, Order)>,
    max_loading: usize,
}

fn fleet(daemons: u128) -> Fleet {
    let engines = ENGINES.iter().map(|name| {
        let state = engine_state(name);
        (
            (*name).to_owned(),
            Engine {
                state,
                loading: None,
            },
        )
    });
    let daemons = (0xA..0xA + daemons).map(|own| {
        let mut bench = Bench::empty(Incarnation(own));
        bench.publish(records().iter());
        for peer in (0xA..0xA + daemons).filter(|peer| *peer != own) {
            bench.link(Incarnation(peer));
        }
        bench
    });
    Fleet {
        daemons: daemons.collect(),
        engines: engines.collect(),
        orders: Vec::new(),
        max_loading: 0,
    }
}

impl Fleet {
    /// Advances all daemons and engines by `ms` in steps of 50 ms.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            for index in 0..self.daemons.len() {
                self.daemons[index].now += 50;
                self.daemons[index].report_all();
                self.deliver_heartbeats(index);
                let actions = self.daemons[index].event(Event::Tick);
                self.carry_out(index, &actions);
            }
            let now = self.daemons[0].now;
            self.engines
                .values_mut()
                .for_each(|engine| engine.finish_load(now));
            let loading = self.engines.values().filter(|e| e.state.busy).count();
            self.max_loading = self.max_loading.max(loading);
        }
    }

    fn deliver_heartbeats(&mut self, index: usize) {
        let count = self.daemons.len() as u128;
        for peer in (0xA..0xA + count).filter(|peer| *peer != 0xA + index as u128) {
            self.daemons[index].news(Incarnation(peer), News::default());
        }
    }

    fn carry_out(&mut self, index: usize, actions: &[Action]) {
        for (target, call) in requests_fixture::calls(actions) {
            let now = self.daemons[0].now;
            let Some(engine) = self.engines.get_mut(&target) else {
                continue;
            };
            let event = match call {
                TargetCall::State => TargetEvent::State(engine.state.clone()),
                TargetCall::Order { order, send_before } => {
                    assert!(send_before.0 > self.daemons[index].now, "sent too late");
                    self.orders.push((target.clone(), order.clone()));
                    TargetEvent::Ordered(engine.order(now, &order))
                }
                _ => continue,
            };
            let target = target.as_str().into();
            let more = self.daemons[index].event(Event::Target { target, event });
            self.carry_out(index, &more);
        }
    }

    fn publish(&mut self, index: usize, version: u32, revision: u64) {
        let values = ENGINES.map(|name| engine(name, &[version]));
        let page = ENGINES.iter().zip(&values);
        let page = page.map(|(name, value)| envelope(name, revision, Some(value)));
        self.daemons[index].publish_page(page.collect());
    }

    /// Makes each of two daemons consider the other dead.
    fn split(&mut self) {
        for (daemon, other) in self.daemons.iter_mut().zip([0xB, 0xA]) {
            daemon.member_news(Incarnation(0xC), Incarnation(other), MemberState::Dead);
        }
    }

    fn versions(&self) -> Vec<u32> {
        let versions = self
            .engines
            .values()
            .map(|engine| engine.state.models[0].version);
        versions.collect()
    }
}

/// Guards against engines that keep serving version 1 after operators published version 2, because no
/// daemon sends them an order.
#[test]
fn engines_reach_the_state_of_the_records_with_one_order_each() {
    let mut fleet = fleet(3);
    for index in 0..3 {
        fleet.publish(index, 2, 100);
    }

    fleet.advance(30_000);

    assert_eq!(fleet.versions(), [2; 4]);
    assert_eq!(fleet.orders.len(), ENGINES.len());
    assert!(
        fleet
            .orders
            .iter()
            .all(|(_, order)| order.fence == Revision(100))
    );
}

#[test]
fn an_engine_in_the_desired_state_gets_no_order() {
    let mut fleet = fleet(2);

    fleet.advance(10_000);

    assert!(fleet.orders.is_empty());
}

/// Guards against an engine that keeps serving an old version: a daemon whose process was paused sends
/// its outdated order late, and the engine ignores fences.
#[test]
fn a_late_order_of_an_older_record_is_corrected_within_the_bound() {
    let mut fleet = fleet(2);
    fleet.publish(0, 2, 100);
    fleet.publish(1, 2, 100);
    fleet.advance(30_000);
    let now = fleet.daemons[0].now;
    let late = Order {
        fence: Revision(9),
        expect_incarnation: run_of("e1"),
        models: served(1),
        mode: EngineMode::Both,
    };

    let verdict = fleet
        .engines
        .get_mut("e1")
        .expect("an engine")
        .order(now, &late);
    fleet.advance(CORRECTION_MS);

    assert_eq!(verdict, OrderVerdict::Begun);
    assert_eq!(fleet.versions(), [2; 4]);
}

/// Guards against engines that reload forever: a daemon without the newest records orders the old
/// version, one with them the new version, and the engines ignore fences.
#[test]
fn a_daemon_with_older_records_does_not_override_one_with_newer_records() {
    let mut fleet = fleet(2);
    fleet.split();
    fleet.publish(0, 2, 100);
    fleet.publish(1, 1, 50);

    fleet.advance(120_000);

    assert_eq!(fleet.versions(), [2; 4]);
    let begun: u64 = fleet.engines.values().map(|e| e.state.orders_begun).sum();
    assert!(begun <= 2 * ENGINES.len() as u64, "{begun} orders");
}

#[test]
fn two_daemons_that_both_rank_first_cause_one_load_per_engine() {
    let mut fleet = fleet(2);
    fleet.split();
    fleet.publish(0, 2, 100);
    fleet.publish(1, 2, 100);

    fleet.advance(30_000);

    assert_eq!(fleet.versions(), [2; 4]);
    let begun: u64 = fleet.engines.values().map(|e| e.state.orders_begun).sum();
    assert_eq!(begun, ENGINES.len() as u64);
}

/// Guards against all engines fetching weights at the same time, which the rate limit of the weight
/// store makes slow for each of them.
#[test]
fn one_daemon_lets_one_engine_load_at_a_time() {
    let mut fleet = fleet(1);
    fleet.publish(0, 2, 100);

    fleet.advance(30_000);

    assert_eq!(fleet.versions(), [2; 4]);
    assert_eq!(fleet.max_loading, 1);
}

/// Guards against repeated orders to an engine that is loading: a very long load no longer blocks
/// others, and the engine's unchanged state still differs from the desired one.
#[test]
fn a_busy_engine_gets_no_order_however_long_it_loads() {
    let mut planner = OrderPlanner::default();
    let desired = [DesiredState {
        target: "e1".into(),
        models: served(2),
    }];
    let mut state = engine_state("e1");
    state.busy = true;
    let mut steps = Vec::new();

    for now in (0..700_000).step_by(1_000).map(MonoMs) {
        steps.extend(planner.steps(now, &desired, |_| Some(Revision(100))));
        planner.on_state(now, &"e1".into(), state.clone());
    }
    state.busy = false;
    planner.on_state(MonoMs(700_000), &"e1".into(), state);
    let idle = planner.steps(MonoMs(700_000), &desired, |_| Some(Revision(100)));

    let has_order = |steps: &[OrderStep]| {
        steps
            .iter()
            .any(|step| matches!(step, OrderStep::Order(..)))
    };
    assert!(!has_order(&steps) && has_order(&idle));
}

#[test]
fn a_resumed_daemon_sends_no_order_before_it_has_read_the_state_again() {
    let mut fleet = fleet(1);
    fleet.advance(2_000);
    fleet.publish(0, 2, 100);
    fleet.daemons[0].now += 30_000;

    let resumed = fleet.daemons[0].event(Event::Tick);

    let ordered = requests_fixture::calls(&resumed)
        .iter()
        .any(|(_, call)| matches!(call, TargetCall::Order { .. }));
    assert!(!ordered);
}
