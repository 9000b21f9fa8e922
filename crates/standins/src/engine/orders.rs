use {
    super::{Shared, state::State},
    crate::signal::lock,
    async_std::task,
    std::{sync::Arc, time::Duration},
    whinlatch_wire::{
        ids::Revision,
        record::ServedModel,
        target::{EngineMode, EngineState, GenerateRequest, Order, OrderAnswer, OrderVerdict},
    },
};

/// What orders change.
#[derive(Debug)]
pub struct Loaded {
    models: Vec<ServedModel>,
    mode: EngineMode,
    busy: bool,
    fence: Revision,
    orders_begun: u64,
}

impl Loaded {
    pub fn new(models: &[ServedModel]) -> Self {
        Self {
            models: models.to_vec(),
            mode: EngineMode::Both,
            busy: false,
            fence: Revision(0),
            orders_begun: 0,
        }
    }

    pub fn serves(&self, request: &GenerateRequest) -> bool {
        self.models.iter().any(|loaded| {
            loaded.model == request.model
                && loaded.adapter == request.adapter
                && request
                    .version
                    .is_none_or(|version| version == loaded.version)
        })
    }

    fn holds(&self, order: &Order) -> bool {
        let missing = order
            .models
            .iter()
            .any(|model| !self.models.contains(model));
        let surplus = self
            .models
            .iter()
            .any(|model| !order.models.contains(model));
        !missing && !surplus && self.mode == order.mode
    }
}

impl State {
    pub fn engine_state(&self) -> EngineState {
        EngineState {
            incarnation: self.incarnation,
            models: self.loaded.models.clone(),
            mode: self.loaded.mode,
            busy: self.loaded.busy,
            fence: self.loaded.fence,
            orders_begun: self.loaded.orders_begun,
        }
    }

    fn take_order(&mut self, order: &Order) -> OrderVerdict {
        if order.expect_incarnation != self.incarnation {
            return OrderVerdict::OtherIncarnation;
        }
        if self.options.enforces_fencing && order.fence < self.loaded.fence {
            return OrderVerdict::OldFence;
        }
        self.loaded.fence = self.loaded.fence.max(order.fence);
        if self.loaded.busy {
            return OrderVerdict::Busy;
        }
        if self.loaded.holds(order) {
            return OrderVerdict::Holds;
        }
        self.loaded.busy = true;
        self.loaded.orders_begun += 1;
        self.loaded
            .models
            .retain(|model| order.models.contains(model));
        OrderVerdict::Begun
    }

    fn load_time(&self, order: &Order) -> Duration {
        let missing = order
            .models
            .iter()
            .filter(|model| !self.loaded.models.contains(model));
        Duration::from_millis(self.options.load_ms) * missing.count() as u32
    }

    fn finish_order(&mut self, order: Order) {
        if order.expect_incarnation == self.incarnation {
            self.loaded.models = order.models;
            self.loaded.mode = order.mode;
            self.loaded.busy = false;
        }
    }
}

impl Shared {
    /// Takes an order, which may be under way for a while and isn't lost with its sender.
    pub async fn order(self: &Arc<Self>, order: Order) -> OrderAnswer {
        let engine = Arc::clone(self);
        task::spawn(async move {
            let delay = Duration::from_millis(lock(&engine.state).faults.order_delay_ms);
            task::sleep(delay).await;
            engine.freeze.pass().await;
            OrderAnswer {
                verdict: engine.begin_order(order),
            }
        })
        .await
    }

    fn begin_order(self: &Arc<Self>, order: Order) -> OrderVerdict {
        let mut state = lock(&self.state);
        let verdict = state.take_order(&order);
        if verdict == OrderVerdict::Begun {
            let (engine, load_time) = (Arc::downgrade(self), state.load_time(&order));
            task::spawn(async move {
                task::sleep(load_time).await;
                if let Some(engine) = engine.upgrade() {
                    engine.freeze.pass().await;
                    lock(&engine.state).finish_order(order);
                }
            });
        }
        verdict
    }
}
