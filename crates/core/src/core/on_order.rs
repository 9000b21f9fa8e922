//! Orders to engines for the state that the records require, sent by the daemon that ranks first for the
//! engine.

use {
    super::Core,
    crate::{
        action::{Action, TargetCall},
        decisions::Subsystem,
        orders::{DesiredState, OrderStep, highest_ranked},
        time::MonoMs,
    },
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::MemberState,
        record::{TargetRecord, TargetRole},
        target::{EngineState, Order, OrderVerdict},
    },
};

/// Key by which daemons are ranked to choose those that send orders.
const RANKING_KEY: &str = "orders";
/// Maximum number of daemons that send orders. Each lets one engine load at a time, so this also bounds the
/// engines that fetch weights at the same time, however many daemons and engines there are.
const MAX_ORDERING_DAEMONS: usize = 4;
/// Interval at which due reads and orders are looked for, in ms.
const ORDER_CHECK_INTERVAL_MS: u64 = 200;
/// Maximum time from the decision for an order until its first byte is sent, in ms.
const SEND_TIMEOUT_MS: u64 = 1_000;

impl Core {
    pub(super) fn send_orders(&mut self, now: MonoMs) {
        if self.refresh.is_some() || now < self.next_orders_at {
            return;
        }
        self.next_orders_at = now + ORDER_CHECK_INTERVAL_MS;
        let desired_states = self.desired_states();
        let records = &self.records;
        let steps = self.order_planner.steps(now, &desired_states, |target| {
            records.revision_of_target(target)
        });
        for step in steps {
            match step {
                OrderStep::Read(target) => self.call(target, TargetCall::State),
                OrderStep::Order(target, order) => self.send_order(now, target, order),
            }
        }
    }

    pub(super) fn on_state(&mut self, now: MonoMs, target: &TargetName, state: EngineState) {
        self.order_planner.on_state(now, target, state);
    }

    pub(super) fn on_ordered(&mut self, now: MonoMs, target: &TargetName, verdict: OrderVerdict) {
        self.order_planner.on_order_answered(target);
        let text = format!("{target} answered the order: {verdict:?}");
        self.record_decision(now, Subsystem::Orders, None, text);
    }

    fn send_order(&mut self, now: MonoMs, target: TargetName, order: Order) {
        let text = format!("{target}: ordering the state of revision {}", order.fence);
        self.record_decision(now, Subsystem::Orders, None, text);
        let send_before = now + SEND_TIMEOUT_MS;
        self.call(target, TargetCall::Order { order, send_before });
    }

    pub(super) fn call(&mut self, target: TargetName, call: TargetCall) {
        let Some(state) = self.targets.get(&target) else {
            return;
        };
        let address = state.address;
        self.emit(Action::Call {
            target,
            address,
            call,
        });
    }

    /// Returns the desired states of the engines for which this daemon ranks first among those that send
    /// orders.
    fn desired_states(&self) -> Vec<DesiredState> {
        let own = self.options.incarnation;
        let mut alive = self.alive_peers();
        if self.leaving_since.is_none() {
            alive.push(own);
        }
        let ordering_daemons = highest_ranked(&alive, RANKING_KEY, MAX_ORDERING_DAEMONS);
        if !ordering_daemons.contains(&own) {
            return Vec::new();
        }
        let in_force = self.records.in_force();
        in_force
            .targets()
            .filter(|record| highest_ranked(&ordering_daemons, record.target.as_str(), 1) == [own])
            .filter_map(desired_state)
            .collect()
    }

    /// Returns the other daemons that are considered alive.
    pub(super) fn alive_peers(&self) -> Vec<Incarnation> {
        self.members
            .iter()
            .filter(|member| member.news.state == MemberState::Alive)
            .map(|member| member.news.incarnation)
            .collect()
    }
}

fn desired_state(record: &TargetRecord) -> Option<DesiredState> {
    let TargetRole::Engine { models, .. } = &record.role else {
        return None;
    };
    Some(DesiredState {
        target: record.target.clone(),
        models: models.clone(),
    })
}
