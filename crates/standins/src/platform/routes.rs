use {
    super::{ForgetHistory, InstanceLag, PlatformMode, Publish, Published, Shared, reads::Read},
    crate::{
        http::{Answer, Fault, done, ok, query, read, status},
        signal::lock,
    },
    async_std::{future::timeout, task},
    futures::future::{self, BoxFuture, FutureExt},
    http_types::{Method, Request, StatusCode},
    serde::Deserialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::Revision,
        platform::{INSTANCES_PATH, InstanceList, MAX_VALUE_BYTES, RECORDS_PATH},
    },
};

#[derive(Deserialize)]
struct Watch {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

pub fn answer(shared: Arc<Shared>, request: Request) -> BoxFuture<'static, Answer> {
    async move { shared.route(request).await }.boxed()
}

impl Shared {
    async fn route(&self, mut request: Request) -> Answer {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, RECORDS_PATH) => self.records(&query(&request)?).await,
            (Method::Get, INSTANCES_PATH) => self.instances().await,
            (Method::Post, "/standin/publish") => self.publish_body(read(&mut request).await?),
            (Method::Post, "/standin/instances") => {
                let list: InstanceList = read(&mut request).await?;
                lock(&self.state).instances.set(Instant::now(), list);
                done()
            }
            (Method::Post, "/standin/instance_lag") => {
                let lag: InstanceLag = read(&mut request).await?;
                lock(&self.state).instances.lag = Duration::from_millis(lag.lag_ms);
                done()
            }
            (Method::Post, "/standin/mode") => {
                self.set_mode(read(&mut request).await?);
                done()
            }
            (Method::Post, "/standin/forget_history") => {
                let forget: ForgetHistory = read(&mut request).await?;
                self.forget_history(forget);
                done()
            }
            (Method::Get, "/standin/stats") => ok(&self.stats()),
            _ => status(StatusCode::NotFound),
        }
    }

    fn publish_body(&self, publish: Publish) -> Answer {
        let value = publish.value.as_deref();
        if value.is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Err(Fault::BadRequest(format!(
                "the value is over {MAX_VALUE_BYTES} bytes: split the record"
            )));
        }
        ok(&Published {
            revision: self.publish(publish.key, value),
        })
    }

    async fn records(&self, watch: &Watch) -> Answer {
        if let Some(refused) = self.admit(Read::Records).await {
            return refused;
        }
        let until = Instant::now() + Duration::from_millis(watch.wait_ms);
        loop {
            let changed = self.changed.waiter();
            if self.is_down() {
                return self.admit_down().await;
            }
            let page = {
                let state = lock(&self.state);
                state
                    .stale
                    .as_ref()
                    .unwrap_or(&state.view)
                    .page(Revision(watch.after))
            };
            let Ok(page) = page else {
                return status(StatusCode::Gone);
            };
            let left = until.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || left.is_zero() {
                return ok(&page);
            }
            // Whether there is news or the wait is over shows in the next round.
            let _timed_out = timeout(left, changed.wait()).await;
        }
    }

    async fn instances(&self) -> Answer {
        if let Some(refused) = self.admit(Read::Instances).await {
            return refused;
        }
        ok(lock(&self.state).instances.show(Instant::now()))
    }

    /// Counts the read and answers it where the platform doesn't take it.
    async fn admit(&self, read: Read) -> Option<Answer> {
        let (allowed, mode) = {
            let mut state = lock(&self.state);
            (state.reads.allow(Instant::now(), read), state.mode)
        };
        match mode {
            PlatformMode::Down { .. } => return Some(self.admit_down().await),
            PlatformMode::Slow { added_ms } => task::sleep(Duration::from_millis(added_ms)).await,
            PlatformMode::Normal | PlatformMode::Stale { .. } => {}
        }
        (!allowed).then(|| status(StatusCode::TooManyRequests))
    }

    fn is_down(&self) -> bool {
        matches!(lock(&self.state).mode, PlatformMode::Down { .. })
    }

    async fn admit_down(&self) -> Answer {
        let mode = lock(&self.state).mode;
        if mode == (PlatformMode::Down { silent: true }) {
            future::pending::<()>().await;
        }
        status(StatusCode::ServiceUnavailable)
    }
}
