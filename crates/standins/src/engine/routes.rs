use {
    super::{
        group::RESERVATION_PATH,
        kv::{EXPORT_PATH, import},
        orders::take_order,
        state::FakeEngine,
        stream::generate,
    },
    crate::{
        http::{Answer, done, found, ok, read, status},
        standin::{Connection, Fake, Server},
        target::{Common, TargetStats},
    },
    http_types::{Request, StatusCode},
    serde::Deserialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::AttemptId,
        target::{
            CACHE_EVENTS_PATH, CANCEL_PATH, CacheEvents, CancelRequest, GENERATE_PATH,
            KV_EXPORT_PATH, KV_IMPORT_PATH, ORDERS_PATH, RELEASE_PATH, REPORT_PATH, RESERVE_PATH,
            ReleaseRequest, ReserveRequest, STATE_PATH,
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

impl Fake for FakeEngine {
    type Stats = TargetStats;

    async fn answer(
        server: &Arc<Server<Self>>,
        path: &str,
        mut request: Request,
        connection: Arc<Connection>,
    ) -> Answer {
        let now = Instant::now();
        match path {
            GENERATE_PATH => generate(server, read(&mut request).await?, connection).await,
            CANCEL_PATH => {
                let cancel: CancelRequest = read(&mut request).await?;
                server.state().cancel(cancel.attempt);
                done()
            }
            RESERVE_PATH => {
                let reserve: ReserveRequest = read(&mut request).await?;
                let reservation = reserve.reservation;
                let reserved = server.state().reserve(now, reserve);
                reserved.map_or_else(
                    |reason| server.refuse_attempt(reservation, reason),
                    |()| done(),
                )
            }
            RELEASE_PATH => {
                let release: ReleaseRequest = read(&mut request).await?;
                server.state().reservations.remove(&release.reservation);
                done()
            }
            REPORT_PATH => ok(&server.state().report(now)),
            CACHE_EVENTS_PATH => ok(&server.state().cache_events(now, &request.query()?)),
            KV_EXPORT_PATH => {
                let export = read(&mut request).await?;
                server.state().export(now, &export)
            }
            KV_IMPORT_PATH => import(server, &read(&mut request).await?).await,
            ORDERS_PATH => ok(&take_order(server, read(&mut request).await?).await),
            STATE_PATH => ok(&server.state().engine),
            RESERVATION_PATH => {
                let reservation: ReservationQuery = request.query()?;
                server.state().prune(now);
                found(server.state().reserved(reservation.id).as_ref())
            }
            EXPORT_PATH => {
                let export: ExportQuery = request.query()?;
                server.state().prune(now);
                found(server.state().exports.get(&export.handle))
            }
            _ => status(StatusCode::NotFound),
        }
    }

    fn common(&mut self) -> &mut Common {
        &mut self.common
    }

    fn stats(&mut self) -> TargetStats {
        self.present_stats(Instant::now())
    }

    fn restart(&mut self) {
        self.begin_again();
    }
}

impl FakeEngine {
    fn cache_events(&self, now: Instant, after: &After) -> CacheEvents {
        let lag = Duration::from_millis(self.options.event_lag_ms);
        let events = self.cache.events(now, after.after, lag);
        CacheEvents {
            incarnation: self.common.incarnation,
            events,
        }
    }
}
