//! Orders to engines: what the records ask for, where this daemon ranks first.

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

/// Key by which the daemons that give orders are ranked.
const ORDERERS_KEY: &str = "orders";
/// Daemons that give orders. Each lets one engine load at a time, so that this many fetch weights
/// at once in the whole fleet, however many daemons and engines there are.
const ORDERERS: usize = 4;
/// Time between two looks at the engines, in ms.
const LOOK_EVERY_MS: u64 = 200;
/// How long an order may take from decision to first byte, in ms.
const SEND_WITHIN_MS: u64 = 1_000;

impl Core {
    pub(super) fn give_orders(&mut self, now: MonoMs) {
        if self.refresh.is_some() || now < self.next_orders {
            return;
        }
        self.next_orders = now + LOOK_EVERY_MS;
        let duties = self.duties();
        let records = &self.records;
        let steps = self
            .orderer
            .steps(now, &duties, |target| records.revision_of_target(target));
        for step in steps {
            match step {
                OrderStep::Read(target) => self.call(target, TargetCall::State),
                OrderStep::Order(target, order) => self.send_order(now, target, order),
            }
        }
    }

    pub(super) fn on_state(&mut self, now: MonoMs, target: &TargetName, state: EngineState) {
        self.orderer.on_state(now, target, state);
    }

    pub(super) fn on_ordered(&mut self, now: MonoMs, target: &TargetName, verdict: OrderVerdict) {
        self.orderer.on_order_answered(target);
        let text = format!("{target} answers the order: {verdict:?}");
        self.decide(now, Subsystem::Orders, None, text);
    }

    fn send_order(&mut self, now: MonoMs, target: TargetName, order: Order) {
        let text = format!(
            "{target} is ordered to the state of revision {}",
            order.fence
        );
        self.decide(now, Subsystem::Orders, None, text);
        let send_before = now + SEND_WITHIN_MS;
        self.call(target, TargetCall::Order { order, send_before });
    }

    pub(super) fn call(&mut self, target: TargetName, call: TargetCall) {
        let Some(state) = self.targets.get(&target) else {
            return;
        };
        let address = state.address;
        self.act(Action::Call {
            target,
            address,
            call,
        });
    }

    /// The engines for which this daemon ranks first among those that give orders.
    fn duties(&self) -> Vec<DesiredState> {
        let own = self.options.incarnation;
        let mut alive = self.alive_peers();
        if self.leaving_since.is_none() {
            alive.push(own);
        }
        let orderers = highest_ranked(&alive, ORDERERS_KEY, ORDERERS);
        if !orderers.contains(&own) {
            return Vec::new();
        }
        let in_force = self.records.in_force();
        in_force
            .targets()
            .filter(|record| highest_ranked(&orderers, record.target.as_str(), 1) == [own])
            .filter_map(duty_of)
            .collect()
    }

    /// Other daemons that are held to be alive.
    pub(super) fn alive_peers(&self) -> Vec<Incarnation> {
        self.members
            .iter()
            .filter(|member| member.news.state == MemberState::Alive)
            .map(|member| member.news.incarnation)
            .collect()
    }
}

fn duty_of(record: &TargetRecord) -> Option<DesiredState> {
    let TargetRole::Engine { models, .. } = &record.role else {
        return None;
    };
    Some(DesiredState {
        target: record.target.clone(),
        models: models.clone(),
    })
}
