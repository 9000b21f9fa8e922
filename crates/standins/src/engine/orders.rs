use {
    super::state::FakeEngine,
    crate::standin::Server,
    async_std::task,
    std::{sync::Arc, time::Duration},
    whinlatch_wire::target::{GenerateRequest, Order, OrderAnswer, OrderVerdict},
};

impl FakeEngine {
    pub fn serves(&self, request: &GenerateRequest) -> bool {
        self.order_state.models.iter().any(|loaded| {
            loaded.model == request.model
                && loaded.adapter == request.adapter
                && request
                    .version
                    .is_none_or(|version| version == loaded.version)
        })
    }

    /// Starts an order. Returns the time that loading takes, or why the order isn't started.
    fn start_order(&mut self, order: &Order) -> Result<Duration, OrderVerdict> {
        let engine = &mut self.order_state;
        if order.expect_incarnation != self.common.incarnation {
            return Err(OrderVerdict::OtherIncarnation);
        }
        if self.options.enforces_fencing && order.fence < engine.fence {
            return Err(OrderVerdict::OldFence);
        }
        engine.fence = engine.fence.max(order.fence);
        if engine.busy {
            return Err(OrderVerdict::Busy);
        }
        let loaded = engine.models.len();
        let missing = order
            .models
            .iter()
            .filter(|model| !engine.models.contains(model))
            .count();
        engine.models.retain(|model| order.models.contains(model));
        if missing == 0 && engine.models.len() == loaded && engine.mode == order.mode {
            return Err(OrderVerdict::Holds);
        }
        engine.busy = true;
        engine.orders_begun += 1;
        Ok(Duration::from_millis(self.options.load_ms) * missing as u32)
    }

    fn finish_order(&mut self, order: Order) {
        if order.expect_incarnation == self.common.incarnation {
            self.order_state.models = order.models;
            self.order_state.mode = order.mode;
            self.order_state.busy = false;
        }
    }
}

/// Handles an order, in a task of its own: it may be delayed by a fault and takes effect even if the sender
/// disconnects.
pub async fn handle_order(server: &Arc<Server<FakeEngine>>, order: Order) -> OrderAnswer {
    let server = Arc::clone(server);
    let started_order = task::spawn(async move {
        let delay = Duration::from_millis(server.state().common.faults.order_delay_ms);
        task::sleep(delay).await;
        server.freeze.wait_while_frozen().await;
        let started = server.state().start_order(&order);
        started.map(|load_time| drop(task::spawn(load(server, order, load_time))))
    });
    OrderAnswer {
        verdict: started_order.await.err().unwrap_or(OrderVerdict::Begun),
    }
}

async fn load(server: Arc<Server<FakeEngine>>, order: Order, load_time: Duration) {
    task::sleep(load_time).await;
    server.freeze.wait_while_frozen().await;
    server.state().finish_order(order);
}
