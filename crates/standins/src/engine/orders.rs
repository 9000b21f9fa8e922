use {
    super::state::FakeEngine,
    crate::standin::Server,
    async_std::task,
    std::{sync::Arc, time::Duration},
    whinlatch_wire::target::{GenerateRequest, Order, OrderAnswer, OrderVerdict},
};

impl FakeEngine {
    pub fn serves(&self, request: &GenerateRequest) -> bool {
        self.engine.models.iter().any(|loaded| {
            loaded.model == request.model
                && loaded.adapter == request.adapter
                && request
                    .version
                    .is_none_or(|version| version == loaded.version)
        })
    }

    /// Begins an order; gives the time that it takes.
    fn begin_order(&mut self, order: &Order) -> Result<Duration, OrderVerdict> {
        let engine = &mut self.engine;
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
            self.engine.models = order.models;
            self.engine.mode = order.mode;
            self.engine.busy = false;
        }
    }
}

/// Takes an order, which may be under way for a while and isn't lost with its sender.
pub async fn take_order(server: &Arc<Server<FakeEngine>>, order: Order) -> OrderAnswer {
    let server = Arc::clone(server);
    let taken = task::spawn(async move {
        let delay = Duration::from_millis(server.state().common.faults.order_delay_ms);
        task::sleep(delay).await;
        server.freeze.pass().await;
        let begun = server.state().begin_order(&order);
        begun.map(|load_time| drop(task::spawn(load(server, order, load_time))))
    });
    OrderAnswer {
        verdict: taken.await.err().unwrap_or(OrderVerdict::Begun),
    }
}

async fn load(server: Arc<Server<FakeEngine>>, order: Order, load_time: Duration) {
    task::sleep(load_time).await;
    server.freeze.pass().await;
    server.state().finish_order(order);
}
