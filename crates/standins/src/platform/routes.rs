use {
    super::{FakePlatform, PlatformControl, PlatformMode, PlatformStats, Published},
    crate::{
        http::{Answer, Call, Fault, ok, status},
        signal::after_ms,
        standin::{Fake, Server},
        target::Common,
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
struct Watch {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Fake for FakePlatform {
    type Stats = PlatformStats;

    async fn answer(server: &Arc<Server<Self>>, mut call: Call) -> Answer {
        match call.path.as_str() {
            RECORDS_PATH => {
                server.state().counted.record_reads += 1;
                server.records(&call.query()?).await
            }
            INSTANCES_PATH => {
                server.state().counted.instance_reads += 1;
                match server.refuse_read().await {
                    Some(refused) => refused,
                    None => ok(server.state().shown_instances(Instant::now())),
                }
            }
            "/standin/control" => {
                let control: PlatformControl = call.read().await?;
                if control.is_too_large() {
                    let remedy = format!("over {MAX_VALUE_BYTES} bytes: split the record");
                    return Err(Fault::BadRequest(remedy));
                }
                ok(&Published {
                    revision: server.control_platform(control),
                })
            }
            _ => status(StatusCode::NotFound),
        }
    }

    fn common(&mut self) -> &mut Common {
        &mut self.common
    }

    fn stats(&mut self) -> PlatformStats {
        self.present_stats()
    }
}

impl Server<FakePlatform> {
    pub fn control_platform(&self, control: PlatformControl) -> Revision {
        let revision = self.state().control(Instant::now(), control);
        self.changed.notify();
        revision
    }

    async fn records(&self, watch: &Watch) -> Answer {
        if let Some(refused) = self.refuse_read().await {
            return refused;
        }
        let until = after_ms(Instant::now(), watch.wait_ms);
        loop {
            let changed = self.changed.waiter();
            if let Some(refused) = self.refuse_while_down().await {
                return refused;
            }
            let page = self.state().shown_view().page(Revision(watch.after));
            let Some(page) = page else {
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

    /// The answer where the platform doesn't take a read.
    async fn refuse_read(&self) -> Option<Answer> {
        let allowed = self.state().allow_read(Instant::now());
        let mode = self.state().mode;
        if let PlatformMode::SlowMs(added_ms) = mode {
            task::sleep(Duration::from_millis(added_ms)).await;
        }
        let refused = self.refuse_while_down().await;
        refused.or_else(|| (!allowed).then(|| status(StatusCode::TooManyRequests)))
    }

    async fn refuse_while_down(&self) -> Option<Answer> {
        let mode = self.state().mode;
        match mode {
            PlatformMode::Silent => future::pending().await,
            PlatformMode::Down => Some(status(StatusCode::ServiceUnavailable)),
            _ => None,
        }
    }
}
