//! When callers' idle connections close.

use {
    super::{
        fixture::target,
        paused_fleet::{Fleet, Published},
    },
    async_std::task,
    std::sync::Arc,
    whinlatch_daemon::entry::Entry,
    whinlatch_platform_standins::{Behaviour, Caller, CallerRequest, Fixture, SAFE_PREFIX},
};

/// Idle timeout of the first configuration, in ms; the default one is far longer.
const SHORT_IDLE_MS: u64 = 1_000;
/// Time after which callers know that an instance is leaving, in ms, and before its exit.
const ANNOUNCED_MS: u64 = 3_000;

fn call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

async fn publish(fleet: &Fleet, version: u64, idle_timeout_ms: u64) {
    let configuration = Fixture {
        version,
        idle_timeout_ms,
        ..Fixture::default()
    };
    configuration.publish(&fleet.store);
    let is_known = |fleet: &Fleet| {
        let mut entries = fleet.entries.iter();
        entries.all(|entry| entry.version() == version)
    };
    fleet.advance_until(is_known).await;
}

/// Begins to stop the first instance of a fleet, and returns its callers' address.
async fn begin_to_stop(fleet: &mut Fleet) -> Arc<Entry> {
    let entry = Arc::new(fleet.entries.remove(0));
    let leaving = Arc::clone(&entry);
    task::spawn(async move { leaving.leave().await });
    while super::fixture::is_ready(&entry) {
        task::yield_now().await;
    }
    entry
}

/// Guards against a connection that is closed by a former idle timeout under a request of a caller that knows the new one.
#[async_std::test]
async fn an_idle_connection_stays_open_for_the_newest_timeout() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    publish(&fleet, 4, SHORT_IDLE_MS).await;
    let mut kept = Caller::connect(fleet.entries[0].settings().caller_address);
    assert_eq!(kept.exchange(&call()).status, 200);

    publish(&fleet, 5, 60 * SHORT_IDLE_MS).await;
    fleet.advance(5 * SHORT_IDLE_MS).await;

    assert_eq!(kept.exchange(&call()).status, 200);
}

/// Guards against callers whose next request on an open connection is refused, though they would use another instance if
/// the connection were closed.
#[async_std::test]
async fn a_leaving_instance_closes_idle_connections_once_callers_know_of_others() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let mut fleet = Fleet::start(Published::Plain(&plain)).await;
    let mut kept = Caller::connect(fleet.entries[0].settings().caller_address);
    assert_eq!(kept.exchange(&call()).status, 200);

    let _leaving = begin_to_stop(&mut fleet).await;
    fleet.advance(ANNOUNCED_MS).await;

    assert_eq!(kept.read(), None);
}

/// Guards against a request that is taken shortly before the exit, and against a caller that isn't told to use another
/// instance at once.
#[async_std::test]
async fn a_leaving_instance_refuses_what_may_last_longer_than_it() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let mut fleet = Fleet::start(Published::Plain(&plain)).await;
    let leaving = begin_to_stop(&mut fleet).await;
    let address = leaving.settings().caller_address;
    let early = Caller::connect(address).exchange(&call());
    let mut caller = Caller::connect(address);
    fleet.advance(ANNOUNCED_MS).await;

    let late = caller.exchange(&call());

    assert_eq!((early.status, plain.arrivals().len()), (200, 1));
    assert_eq!(late.status, 503);
    assert_eq!(late.header("Retry-After"), Some("0.00"));
    assert_eq!(late.header("Connection"), Some("close"));
}

/// Guards against a connection that is closed before its caller, or the peer that forwards a request, has sent the first
/// one.
#[async_std::test]
async fn a_new_connection_stays_open_for_the_time_of_a_head() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    publish(&fleet, 4, SHORT_IDLE_MS).await;
    let mut caller = Caller::connect(fleet.entries[0].settings().caller_address);

    fleet.advance(2 * SHORT_IDLE_MS).await;

    assert_eq!(caller.exchange(&call()).status, 200);
}
