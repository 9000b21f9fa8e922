use {
    super::{
        group::RESERVATION_PATH,
        kv::{EXPORT_PATH, import},
        orders::take_order,
        state::FakeEngine,
        stream::generate,
    },
    crate::{
        http::{Answer, Call, done, found, ok, status},
        standin::{Fake, Server},
        target::{Common, TargetStats},
    },
    http_types::StatusCode,
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

    async fn answer(server: &Arc<Server<Self>>, mut call: Call) -> Answer {
        let now = Instant::now();
        match call.path.as_str() {
            GENERATE_PATH => generate(server, call.read().await?, call.connection).await,
            CANCEL_PATH => {
                let cancel: CancelRequest = call.read().await?;
                server.state().cancel(cancel.attempt);
                done()
            }
            RESERVE_PATH => {
                let reserve: ReserveRequest = call.read().await?;
                let reservation = reserve.reservation;
                let reserved = server.state().reserve(now, reserve);
                reserved.map_or_else(
                    |reason| server.refuse_attempt(reservation, reason),
                    |()| done(),
                )
            }
            RELEASE_PATH => {
                let release: ReleaseRequest = call.read().await?;
                server.state().reservations.remove(&release.reservation);
                done()
            }
            REPORT_PATH => ok(&server.state().report(now)),
            CACHE_EVENTS_PATH => ok(&server.state().cache_events(now, &call.query()?)),
            KV_EXPORT_PATH => {
                let export = call.read().await?;
                server.state().export(now, &export)
            }
            KV_IMPORT_PATH => import(server, &call.read().await?).await,
            ORDERS_PATH => ok(&take_order(server, call.read().await?).await),
            STATE_PATH => ok(&server.state().engine),
            RESERVATION_PATH => {
                let reservation: ReservationQuery = call.query()?;
                server.state().prune(now);
                found(server.state().reserved(reservation.id).as_ref())
            }
            EXPORT_PATH => {
                let export: ExportQuery = call.query()?;
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
