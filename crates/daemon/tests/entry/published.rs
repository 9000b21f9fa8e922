//! Reading the configuration and targets that the store publishes.

use {
    super::fixture::{
        SilentPeer, World, get, settings, start, start_with_clock, target, until, world,
    },
    std::sync::Arc,
    whinlatch_daemon::{
        clock::{Clock, PausedClock, SystemClock},
        entry::Entry,
    },
    whinlatch_platform::InstanceSettings,
    whinlatch_platform_standins::{
        Behaviour, CallerRequest, ENGINES, Fixture, KEY, PLAIN, SAFE_PREFIX, StoreMode,
        StoreStandin,
        names::{CONFIGURATION_KEY, TARGETS_PREFIX},
    },
};

fn call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

/// Guards against 404 from an instance that has just started and has no configuration yet, after which a
/// caller never retries.
#[async_std::test]
async fn without_a_configuration_requests_are_refused_with_a_retry_after() {
    let store = StoreStandin::start();
    let entry = start(&store, &[]).await;
    let world = World { store, entry };

    let answer = world.exchange(&call());

    assert_eq!(answer.status, 503);
    assert!(answer.header("Retry-After").is_some());
    let ready = get(world.entry.settings().ready_address, "/v1/ready");
    assert_eq!(ready.status, 503);
}

/// Guards against a refusal that makes a caller use up its only retry within 300 ms, though the instance has
/// just started and reads the configuration a moment later.
#[async_std::test]
async fn a_request_waits_a_limited_time_for_the_configuration() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let store = StoreStandin::start();
    store.publish_plain(&plain);
    let entry = start_with_clock(store.address(), &[], Arc::new(PausedClock::default())).await;
    let world = World { store, entry };
    let metrics = world.entry.settings().metrics_address;
    let mut caller = world.connect();

    caller.write(&call().text());
    until(|| {
        get(metrics, "/metrics")
            .body
            .contains("entry_open_requests 1")
    })
    .await;
    Fixture::default().publish(&world.store);

    assert_eq!(caller.read().unwrap().status, 200);
}

/// Guards against refusals for a second after the store was silent: it accepted the connections of starting
/// instances, and they wait for answers on these although a new connection would be answered.
#[async_std::test]
async fn a_starting_instance_soon_gives_up_on_a_silent_store() {
    let (store, address) = SilentPeer::start();
    let clock = Arc::new(PausedClock::default());
    let shared_clock = Arc::clone(&clock) as Arc<dyn Clock>;
    let _entry = start_with_clock(address, &[], shared_clock).await;
    until(|| store.received() > 0).await;

    clock.advance(400);

    until(|| store.closed() > 0).await;
}

/// Guards against an instance that has served for hours and refuses a call with a long `Retry-After`, since it
/// takes the time since its start as time without a configuration.
#[async_std::test]
async fn a_route_without_a_service_is_refused_with_a_short_retry_after() {
    let store = StoreStandin::start();
    let mut published = Fixture::default().json();
    published["Routes"][2]["Service"] = serde_json::Value::Null;
    store.publish(CONFIGURATION_KEY, &published);
    let clock = Arc::new(PausedClock::default());
    let entry = start_with_clock(store.address(), &[], Arc::clone(&clock) as Arc<dyn Clock>).await;
    let world = World { store, entry };
    world.wait_until_ready().await;

    clock.advance(3_600_000);
    let answer = world.exchange(&call());

    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("Retry-After"), Some("0.30"));
}

#[async_std::test]
async fn unknown_routes_and_unknown_keys_get_different_statuses() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;

    let no_route = world.exchange(&CallerRequest::new("GET", "/nowhere/".to_owned()));
    let no_key = world.exchange(&CallerRequest {
        key: None,
        ..call()
    });
    let bad_key = world.exchange(&CallerRequest {
        key: Some("key-9"),
        ..call()
    });

    assert_eq!(no_route.status, 404);
    assert_eq!((no_key.status, bad_key.status), (401, 401));
    assert!(plain.arrivals().is_empty());
}

#[async_std::test]
async fn the_longest_prefix_decides() {
    let plain = target("p-1", Behaviour::Serve("plain"));
    let world = world(&[], &[&plain]).await;
    let fixture = Fixture {
        version: 9,
        extra_routes: vec![("/safe/inner/".to_owned(), "nothing")],
        ..Fixture::default()
    };
    fixture.publish(&world.store);
    world.wait_for_version(9).await;

    let outer = world.exchange(&call());
    let inner = world.exchange(&CallerRequest::new("GET", "/safe/inner/x".to_owned()));

    assert_eq!(outer.status, 200);
    assert_eq!(inner.status, 503);
}

/// Guards against a revoked key that works again since an instance returned to an older configuration.
#[async_std::test]
async fn an_older_version_changes_nothing() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    let newer = Fixture {
        version: 12,
        keys: vec!["key-2".to_owned()],
        ..Fixture::default()
    };
    newer.publish(&world.store);
    world.wait_for_version(12).await;

    Fixture::default().publish(&world.store);
    let marker = target("p-2", Behaviour::Serve("listing"));
    world.store.publish_plain(&marker);
    until(|| world.entry.ready_targets().contains(&"p-2".to_owned())).await;

    assert_eq!(world.exchange(&call()).status, 401);
    assert_eq!(world.entry.version(), 12);
}

#[async_std::test]
async fn an_unreadable_configuration_leaves_the_former_one_active() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;

    world
        .store
        .publish_text(CONFIGURATION_KEY, "{\"Version\": 20}}");
    world
        .store
        .publish_text(&format!("{TARGETS_PREFIX}bad"), "no entry");
    let marker = target("p-2", Behaviour::Serve("listing"));
    world.store.publish_plain(&marker);
    until(|| world.entry.ready_targets().contains(&"p-2".to_owned())).await;

    assert_eq!(world.exchange(&call()).status, 200);
    assert_eq!(world.entry.version(), 3);
}

/// Guards against a call that is sent to a draining target, which exits before it has answered.
#[async_std::test]
async fn a_draining_target_gets_no_more_requests() {
    let plain = [
        target("p-1", Behaviour::Serve("listing")),
        target("p-2", Behaviour::Serve("listing")),
    ];
    let world = world(&[], &[&plain[0], &plain[1]]).await;

    world.store.publish_draining(&plain[0]);
    until(|| world.entry.ready_targets() == ["p-2"]).await;
    for _ in 0..8 {
        world.exchange(&call());
    }

    assert!(plain[0].arrivals().is_empty());
}

/// Guards against targets that are missed, or get requests after they have left, since the store has dropped
/// the history that the instance was reading.
#[async_std::test]
async fn changes_in_a_compacted_history_are_found_by_a_full_read() {
    let plain = [
        target("p-1", Behaviour::Serve("listing")),
        target("p-2", Behaviour::Serve("listing")),
    ];
    let world = world(&[], &[&plain[0], &plain[1]]).await;
    until(|| world.entry.ready_targets().len() == 2).await;

    world.store.set_mode(StoreMode::Busy);
    world.store.publish_draining(&plain[0]);
    world.store.compact();
    world.store.set_mode(StoreMode::Serving);

    until(|| world.entry.ready_targets() == ["p-2"]).await;
}

#[async_std::test]
async fn all_pages_are_read() {
    let store = StoreStandin::start();
    store.set_page_size(2);
    Fixture::default().publish(&store);
    let plain = ["p-1", "p-2", "p-3", "p-4", "p-5"].map(|id| target(id, Behaviour::Shed));
    for target in &plain {
        store.publish_plain(target);
    }

    let entry = start(&store, &[]).await;

    until(|| entry.ready_targets().len() == plain.len()).await;
}

/// Guards against refusals of all calls while all targets are up: their entries expired during an outage of the
/// store, and the instance removed them as soon as the store was back.
#[async_std::test]
async fn entries_that_expired_during_an_outage_of_the_store_stay_for_a_grace_period() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    store.publish_plain(&plain);
    // Entries expire after less time than the instance waits before it calls the store again.
    let expiring = InstanceSettings {
        target_heartbeat_interval_ms: 10,
        ..settings(store.address(), &[])
    };
    let entry = Entry::start(expiring, Arc::new(SystemClock::start()))
        .await
        .unwrap();
    let world = World { store, entry };
    world.wait_until_ready().await;
    world.store.set_mode(StoreMode::Closing);
    until(|| world.entry.is_store_lost()).await;

    world.store.remove_target(plain.id());
    world.store.set_mode(StoreMode::Serving);
    until(|| !world.entry.is_store_lost()).await;

    assert_eq!(world.exchange(&call()).status, 200);
}

#[async_std::test]
async fn keys_are_valid_as_published() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    let revoked = Fixture {
        version: 5,
        keys: Vec::new(),
        ..Fixture::default()
    };

    assert_eq!(world.exchange(&call()).status, 200);
    revoked.publish(&world.store);
    world.wait_for_version(5).await;

    let request = CallerRequest {
        key: Some(KEY),
        ..call()
    };
    assert_eq!(world.exchange(&request).status, 401);
}

/// Guards against instances that have no targets for half a minute after all have restarted: the store's quota of
/// calls is smaller than they need, and each instance began its full read again at each refusal.
#[async_std::test]
async fn a_full_read_continues_after_the_page_that_the_store_refused() {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    for number in 0..12 {
        let id = format!("p-{number}");
        store.publish_target(&id, PLAIN, ([127, 0, 0, 1], 9_000 + number).into(), "ready");
    }
    store.set_page_size(2);
    store.set_throttle_interval(Some(3));

    let entry = start(&store, &[]).await;

    until(|| entry.ready_targets().len() == 12).await;
}

/// Guards against a fleet in which all instances read everything again after each short outage of the store.
#[async_std::test]
async fn after_an_outage_of_the_store_only_changes_are_read() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    let before = world.store.range_count();
    world.store.set_mode(StoreMode::Closing);
    until(|| world.entry.is_store_lost()).await;
    let other = target("p-2", Behaviour::Serve("listing"));

    world.store.publish_plain(&other);
    world.store.set_mode(StoreMode::Serving);

    until(|| world.entry.ready_targets() == ["p-1", "p-2"]).await;
    assert_eq!(world.store.range_count(), before);
}

/// Guards against a target that gets requests for three seconds after it has left: the store is back, but a
/// watch sent during its outage hangs, and the grace period of expired entries begins only after that.
#[async_std::test]
async fn after_an_outage_of_the_store_changes_are_requested_without_waiting() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    world.store.set_mode(StoreMode::Closing);
    until(|| world.entry.is_store_lost()).await;
    let before = world.store.watch_waits_ms().len();

    world.store.set_mode(StoreMode::Serving);
    until(|| !world.entry.is_store_lost()).await;

    assert_eq!(world.store.watch_waits_ms()[before], 0);
}

/// Guards against a log filled by another writer, which keeps writing entries below the targets' prefix that are
/// no targets or belong to no service. The real targets must stay.
#[async_std::test]
async fn entries_of_another_writer_neither_fill_the_log_nor_affect_targets() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    store.publish_plain(&plain);
    for number in 0..60 {
        store.publish_malformed(&format!("malformed-{number}"));
        let id = format!("unknown-{number}");
        store.publish_target(
            &id,
            "nothing",
            ([127, 0, 0, 1], 9_000 + number).into(),
            "ready",
        );
    }

    let entry = start_with_clock(store.address(), &[], Arc::new(PausedClock::default())).await;
    let world = World { store, entry };
    world.wait_until_ready().await;

    let metrics = get(world.entry.settings().metrics_address, "/metrics").body;
    assert!(metrics.contains("whinlatch_entry_dropped_log_lines_total 70"));
    assert_eq!(world.exchange(&call()).status, 200);
}

/// Guards against calls to the store that grow with instances times targets when hundreds of weak instances start at
/// the same time: each needs few targets until its relays tell it the rest.
#[async_std::test]
async fn a_weak_instance_serves_with_the_first_page_before_it_reads_the_rest() {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    store.set_page_size(120);
    let address = "127.0.0.1:9".parse().unwrap();
    store.publish_target("a-1", PLAIN, address, "ready");
    for port in 1_000..1_149 {
        let address = format!("127.0.0.1:{port}").parse().unwrap();
        store.publish_target(&format!("e-{port}"), ENGINES, address, "ready");
    }
    let clock = Arc::new(PausedClock::default());
    let weak = InstanceSettings {
        cpu_millis: 120,
        ..settings(store.address(), &[])
    };

    let entry = Entry::start(weak, Arc::clone(&clock) as Arc<dyn Clock>)
        .await
        .unwrap();
    until(|| get(entry.settings().ready_address, "/v1/ready").status == 200).await;
    let first = (store.range_count(), entry.ready_targets().len());
    until(|| {
        clock.advance(20);
        entry.ready_targets().len() == 150
    })
    .await;

    assert_eq!(first, (2, 120));
    assert_eq!(store.range_count(), 3);
}
