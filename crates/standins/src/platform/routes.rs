use {
    super::{ControlResponse, FakePlatform, PlatformControl, PlatformMode, PlatformStats},
    crate::{
        http::{HandlerError, HandlerResult, IncomingRequest, ok, status},
        signal::after_ms,
        standin::{Fake, Server},
        target::CommonState,
    },
    async_std::{future::timeout, task},
    futures::future,
    http_types::StatusCode,
    serde::Deserialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::Revision,
        platform::{INSTANCES_PATH, MAX_VALUE_BYTES, RECORDS_PATH},
    },
};

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Fake for FakePlatform {
    type Stats = PlatformStats;

    async fn handle(server: &Arc<Server<Self>>, mut incoming: IncomingRequest) -> HandlerResult {
        match incoming.path.as_str() {
            RECORDS_PATH => {
                server.state().stats.record_reads += 1;
                server.records(&incoming.query()?).await
            }
            INSTANCES_PATH => {
                server.state().stats.instance_reads += 1;
                match server.refuse_read().await {
                    Some(refusal) => refusal,
                    None => ok(server.state().visible_instances(Instant::now())),
                }
            }
            "/standin/control" => {
                let control: PlatformControl = incoming.read().await?;
                if control.is_too_large() {
                    let remedy = format!("over {MAX_VALUE_BYTES} bytes: split the record");
                    return Err(HandlerError::BadRequest(remedy));
                }
                ok(&ControlResponse {
                    revision: server.control_platform(control),
                })
            }
            _ => status(StatusCode::NotFound),
        }
    }

    fn common(&mut self) -> &mut CommonState {
        &mut self.common
    }

    fn stats(&mut self) -> PlatformStats {
        self.current_stats()
    }
}

impl Server<FakePlatform> {
    pub fn control_platform(&self, control: PlatformControl) -> Revision {
        let revision = self.state().control(Instant::now(), control);
        self.changed.notify();
        revision
    }

    async fn records(&self, query: &WatchQuery) -> HandlerResult {
        if let Some(refusal) = self.refuse_read().await {
            return refusal;
        }
        let until = after_ms(Instant::now(), query.wait_ms);
        loop {
            let changed = self.changed.waiter();
            if let Some(refusal) = self.refuse_while_down().await {
                return refusal;
            }
            let page = self.state().visible_records().page(Revision(query.after));
            let Some(page) = page else {
                return status(StatusCode::Gone);
            };
            let remaining = until.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || remaining.is_zero() {
                return ok(&page);
            }
            // The next iteration finds out if there is a change or the wait has timed out.
            let _timed_out = timeout(remaining, changed.wait()).await;
        }
    }

    /// Counts a read, delays it in slow mode, and returns a refusal if the platform doesn't serve it.
    async fn refuse_read(&self) -> Option<HandlerResult> {
        let allowed = self.state().allow_read(Instant::now());
        let mode = self.state().mode;
        if let PlatformMode::SlowMs(added_ms) = mode {
            task::sleep(Duration::from_millis(added_ms)).await;
        }
        let refusal = self.refuse_while_down().await;
        refusal.or_else(|| (!allowed).then(|| status(StatusCode::TooManyRequests)))
    }

    /// Returns a refusal while the platform is down; never returns while it is silent.
    async fn refuse_while_down(&self) -> Option<HandlerResult> {
        let mode = self.state().mode;
        match mode {
            PlatformMode::Silent => future::pending().await,
            PlatformMode::Down => Some(status(StatusCode::ServiceUnavailable)),
            _ => None,
        }
    }
}
