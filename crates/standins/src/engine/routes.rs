use {
    super::{
        Shared,
        group::{HeldReservation, RESERVATION_PATH},
        kv::EXPORT_PATH,
    },
    crate::{
        http::{Answer, Fault, done, ok, query, read, status},
        server::Connection,
        signal::lock,
        target::refuse,
    },
    futures::future::{BoxFuture, FutureExt},
    http_types::{Method, Request, StatusCode},
    serde::Deserialize,
    std::{
        sync::{Arc, Weak},
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::AttemptId,
        target::{
            CACHE_EVENTS_PATH, CANCEL_PATH, CacheEvents, CancelRequest, GENERATE_PATH,
            KV_EXPORT_PATH, KV_IMPORT_PATH, KvExport, ORDERS_PATH, RELEASE_PATH, REPORT_PATH,
            RESERVE_PATH, ReleaseRequest, ReserveRequest, STATE_PATH,
        },
    },
};

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

#[derive(Deserialize)]
struct ReservationQuery {
    id: AttemptId,
}

#[derive(Deserialize)]
struct ExportQuery {
    handle: u64,
}

pub fn answer(
    engine: Weak<Shared>,
    request: Request,
    connection: Arc<Connection>,
) -> BoxFuture<'static, Answer> {
    async move {
        match engine.upgrade() {
            Some(engine) => engine.route(request, connection).await,
            None => Err(Fault::BrokenOff),
        }
    }
    .boxed()
}

impl Shared {
    async fn route(self: &Arc<Self>, mut request: Request, connection: Arc<Connection>) -> Answer {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, GENERATE_PATH) => {
                self.generate(read(&mut request).await?, connection).await
            }
            (Method::Post, CANCEL_PATH) => {
                let cancel: CancelRequest = read(&mut request).await?;
                lock(&self.state).cancel(cancel.attempt);
                self.wake.notify();
                done()
            }
            (Method::Post, RESERVE_PATH) => self.reserve(&read(&mut request).await?),
            (Method::Post, RELEASE_PATH) => {
                let release: ReleaseRequest = read(&mut request).await?;
                lock(&self.state).reservations.release(release.reservation);
                self.wake.notify();
                done()
            }
            (Method::Get, REPORT_PATH) => ok(&lock(&self.state).report(Instant::now())),
            (Method::Get, CACHE_EVENTS_PATH) => self.cache_events(&query(&request)?),
            (Method::Post, KV_EXPORT_PATH) => self.export(&read(&mut request).await?),
            (Method::Post, KV_IMPORT_PATH) => self.import(&read(&mut request).await?).await,
            (Method::Post, ORDERS_PATH) => ok(&self.order(read(&mut request).await?).await),
            (Method::Get, STATE_PATH) => ok(&lock(&self.state).engine_state()),
            (Method::Get, RESERVATION_PATH) => self.held_reservation(&query(&request)?),
            (Method::Get, EXPORT_PATH) => {
                let export: ExportQuery = query(&request)?;
                let exported = lock(&self.state).exported(Instant::now(), export.handle);
                exported.map_or_else(|| status(StatusCode::NotFound), |blocks| ok(&blocks))
            }
            _ => self.control(request, &path).await,
        }
    }

    async fn control(self: &Arc<Self>, mut request: Request, path: &str) -> Answer {
        match (request.method(), path) {
            (Method::Post, "/standin/faults") => {
                self.set_faults(read(&mut request).await?);
                done()
            }
            (Method::Post, "/standin/silence") => {
                self.server().silence_open();
                done()
            }
            (Method::Post, "/standin/die") => {
                self.die(read(&mut request).await?).await;
                done()
            }
            (Method::Get, "/standin/stats") => ok(&lock(&self.state).stats(Instant::now())),
            _ => status(StatusCode::NotFound),
        }
    }

    fn reserve(&self, request: &ReserveRequest) -> Answer {
        match lock(&self.state).reserve(Instant::now(), request) {
            Ok(()) => done(),
            Err(reason) => refuse(request.reservation, reason),
        }
    }

    fn cache_events(&self, after: &After) -> Answer {
        let state = lock(&self.state);
        let lag = Duration::from_millis(self.options.event_lag_ms);
        let events = state.cache.events(Instant::now(), after.after, lag);
        ok(&CacheEvents {
            incarnation: state.incarnation,
            events,
        })
    }

    fn export(&self, export: &KvExport) -> Answer {
        match lock(&self.state).export(Instant::now(), export) {
            None => status(StatusCode::NotFound),
            Some(Ok(handle)) => ok(&handle),
            Some(Err(reason)) => refuse(AttemptId(0), reason),
        }
    }

    fn held_reservation(&self, query: &ReservationQuery) -> Answer {
        let mut state = lock(&self.state);
        state.prune(Instant::now());
        match state.reservations.tokens(query.id) {
            Some(tokens) => ok(&HeldReservation { tokens }),
            None => status(StatusCode::NotFound),
        }
    }
}
