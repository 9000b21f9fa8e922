use {
    super::{
        group::RESERVATION_PATH,
        kv::{EXPORT_PATH, import},
        orders::handle_order,
        state::FakeEngine,
        stream::generate,
    },
    crate::{
        http::{HandlerResult, IncomingRequest, no_content, ok, ok_or_not_found, status},
        standin::{Fake, Server},
        target::{CommonState, TargetStats},
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
struct CacheEventsQuery {
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

    async fn handle(server: &Arc<Server<Self>>, mut incoming: IncomingRequest) -> HandlerResult {
        let now = Instant::now();
        match incoming.path.as_str() {
            GENERATE_PATH => generate(server, incoming.read().await?, incoming.connection).await,
            CANCEL_PATH => {
                let cancel: CancelRequest = incoming.read().await?;
                server.state().cancel(cancel.attempt);
                no_content()
            }
            RESERVE_PATH => {
                let reserve: ReserveRequest = incoming.read().await?;
                let reservation = reserve.reservation;
                let reserved = server.state().reserve(now, reserve);
                reserved.map_or_else(
                    |reason| server.refuse_attempt(reservation, reason),
                    |()| no_content(),
                )
            }
            RELEASE_PATH => {
                let release: ReleaseRequest = incoming.read().await?;
                server.state().reservations.remove(&release.reservation);
                no_content()
            }
            REPORT_PATH => ok(&server.state().report(now)),
            CACHE_EVENTS_PATH => ok(&server.state().cache_events(now, &incoming.query()?)),
            KV_EXPORT_PATH => {
                let export = incoming.read().await?;
                server.state().export(now, &export)
            }
            KV_IMPORT_PATH => import(server, &incoming.read().await?).await,
            ORDERS_PATH => ok(&handle_order(server, incoming.read().await?).await),
            STATE_PATH => ok(&server.state().order_state),
            RESERVATION_PATH => {
                let reservation: ReservationQuery = incoming.query()?;
                server.state().drop_expired(now);
                ok_or_not_found(server.state().reserved(reservation.id).as_ref())
            }
            EXPORT_PATH => {
                let export: ExportQuery = incoming.query()?;
                server.state().drop_expired(now);
                ok_or_not_found(server.state().exports.get(&export.handle))
            }
            _ => status(StatusCode::NotFound),
        }
    }

    fn common(&mut self) -> &mut CommonState {
        &mut self.common
    }

    fn stats(&mut self) -> TargetStats {
        self.current_stats(Instant::now())
    }

    fn restart(&mut self) {
        self.reset();
    }
}

impl FakeEngine {
    fn cache_events(&self, now: Instant, query: &CacheEventsQuery) -> CacheEvents {
        let lag = Duration::from_millis(self.options.event_lag_ms);
        let events = self.cache.events(now, query.after, lag);
        CacheEvents {
            incarnation: self.common.incarnation,
            events,
        }
    }
}
