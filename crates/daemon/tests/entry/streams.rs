//! Prompts: relayed and resumed streams, helpers and reserved memory.

use {
    super::fixture::{World, target, until, world},
    std::{
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
    },
    whinlatch_platform_standins::{
        Behaviour, CallerRequest, ENGINES, Fixture, Request, STREAM_PREFIX, TargetStandin,
        names::{HELPERS_HEADER, SEAL_HEADER, TOKENS_HEADER},
    },
};

fn prompt(tokens: u64) -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), tokens)
}

fn five_engines(usual: &Behaviour) -> [TargetStandin; 5] {
    ["e-1", "e-2", "e-3", "e-4", "e-5"].map(|id| target(id, usual.clone()))
}

/// Starts an instance whose engines each have less memory than a prompt of 10,000 tokens needs.
async fn world_of_small_engines(engines: &[TargetStandin; 5]) -> World {
    let world = world(&engines.each_ref(), &[]).await;
    let small = Fixture {
        version: 4,
        engine_tokens: 9_000,
        ..Fixture::default()
    };
    small.publish(&world.store);
    world.wait_for_version(4).await;
    world
}

/// Publishes a deadline of five minutes, so that no prompt is refused for its length and no attempt ends by
/// the deadline.
async fn publish_long_deadlines(world: &World) {
    let patient = Fixture {
        version: 4,
        timeout_ms: 300_000,
        objective_ms: 40_000,
        ..Fixture::default()
    };
    patient.publish(&world.store);
    world.wait_for_version(4).await;
}

fn events(first: u64, last: u64) -> String {
    let events: Vec<String> = (first..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    events.concat()
}

#[async_std::test]
async fn a_stream_is_passed_on_completely() {
    let engine = target("e-1", Behaviour::Stream(4));
    let world = world(&[&engine], &[]).await;

    let answer = world.exchange(&prompt(5_000));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(1, 4));
    assert_eq!(answer.header(SEAL_HEADER), Some("seal"));
    let arrived = &engine.arrivals()[0];
    assert_eq!(arrived.header(TOKENS_HEADER), Some("5000,80"));
    assert_eq!(arrived.header(HELPERS_HEADER), None);
}

/// Guards against duplicate or truncated events after an engine's stream broke in the middle of an event and
/// another engine resumed after the last complete one.
#[async_std::test]
async fn a_broken_stream_resumes_at_another_engine() {
    let engines = [
        target("e-1", Behaviour::Stream(5)),
        target("e-2", Behaviour::Stream(5)),
    ];
    engines[0].script([Behaviour::StreamBroken(2)]);
    engines[1].script([Behaviour::StreamBroken(2)]);
    let world = world(&[&engines[0], &engines[1]], &[]).await;

    // Each engine breaks one stream. The first prompt meets both, since the one that resumes has sent nothing
    // new yet; the second meets none.
    let first = world.exchange(&prompt(5_000));
    let second = world.exchange(&prompt(5_000));

    assert!(!first.is_whole);
    assert_eq!(first.body, events(1, 2));
    assert_eq!((second.is_whole, second.body), (true, events(1, 5)));
    let mut resumed: Vec<Option<String>> = engines
        .iter()
        .map(|engine| engine.arrivals()[0].clone())
        .map(|arrived| arrived.header("Last-Event-Id").map(str::to_owned))
        .collect();
    resumed.sort();
    assert_eq!(resumed, [None, Some("2".to_owned())]);
}

/// As above, where the second engine completes the stream: the incomplete event of the first one must not
/// precede it.
#[async_std::test]
async fn an_incomplete_event_is_no_part_of_a_resumed_stream() {
    let requests = Arc::new(AtomicUsize::new(0));
    let engines = ["e-1", "e-2"].map(|id| {
        let requests = Arc::clone(&requests);
        TargetStandin::start_choosing(id, move |_request| {
            match requests.fetch_add(1, Ordering::SeqCst) {
                0 => Behaviour::StreamBroken(2),
                _ => Behaviour::Stream(5),
            }
        })
    });
    let world = world(&engines.each_ref(), &[]).await;

    let answer = world.exchange(&prompt(5_000));

    assert_eq!((answer.body, answer.is_whole), (events(1, 5), true));
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

#[async_std::test]
async fn a_broken_stream_without_another_engine_ends_without_the_last_chunk() {
    let engine = target("e-1", Behaviour::Stream(5));
    let world = world(&[&engine], &[]).await;
    let broken = target("e-2", Behaviour::StreamBroken(3));
    world.store.publish_engine(&broken);
    world.store.remove_target(engine.id());
    until(|| world.entry.ready_targets() == ["e-2"]).await;
    let mut caller = world.connect();

    caller.write(&prompt(5_000).text());
    broken.wait_for_arrivals(1);
    let answer = caller.read().unwrap();

    // No other engine is published, so the answer ends early, without the last chunk.
    assert_eq!((answer.body, answer.is_whole), (events(1, 3), false));
}

/// Guards against failing a prompt after its engine confirmed that it is full and hasn't begun, while another
/// one is free.
#[async_std::test]
async fn a_prompt_that_an_engine_refused_goes_to_another() {
    let engines = [
        target("e-1", Behaviour::Stream(3)),
        target("e-2", Behaviour::Stream(3)),
    ];
    engines[0].script([Behaviour::Shed]);
    engines[1].script([Behaviour::Shed]);
    let world = world(&[&engines[0], &engines[1]], &[]).await;

    let statuses = [prompt(5_000), prompt(5_000)].map(|request| world.exchange(&request).status);

    assert!(
        statuses == [503, 200] || statuses == [200, 200],
        "{statuses:?}"
    );
}

/// Guards against an engine that keeps generating after the caller has closed its connection.
#[async_std::test]
async fn a_caller_that_disconnects_ends_its_stream_at_the_engine() {
    let engine = target("e-1", Behaviour::StreamThenHang(2));
    let world = world(&[&engine], &[]).await;
    let mut caller = world.connect();
    caller.write(&prompt(5_000).text());
    let first = caller.read_first_chunk();

    caller.disconnect();

    assert!(first.starts_with("id: 1\n"));
    engine.wait_for_close();
}

/// Guards against a long prompt that is late since one engine reads all of it while others are idle.
#[async_std::test]
async fn a_long_prompt_is_read_by_several_engines() {
    let engines = [
        target("e-1", Behaviour::Stream(3)),
        target("e-2", Behaviour::Stream(3)),
        target("e-3", Behaviour::Stream(3)),
    ];
    let world = world(&[&engines[0], &engines[1], &engines[2]], &[]).await;

    let answer = world.exchange(&prompt(180_000));

    assert_eq!(answer.status, 200);
    let answering: Vec<_> = engines
        .iter()
        .filter(|engine| !engine.arrivals().is_empty())
        .collect();
    assert_eq!(answering.len(), 1);
    let arrived = &answering[0].arrivals()[0];
    let entries: Vec<&str> = arrived.header(HELPERS_HEADER).unwrap().split(',').collect();
    // The answering engine comes first, by a small reservation of its own; the helpers have no reservation.
    let own = format!("{}/", answering[0].address());
    assert_eq!(entries.len(), 3);
    assert!(entries[0].starts_with(&own));
    assert!(entries[1..].iter().all(|entry| !entry.contains('/')));
    answering[0].wait_for_order("release");
}

/// Guards against refusals of a prompt that exceeds one engine's memory, and against memory that stays reserved
/// after it. Memory must be reserved before the prompt is sent and released at its end.
#[async_std::test]
async fn memory_is_reserved_for_a_prompt_too_large_for_one_engine_and_released() {
    let engines = five_engines(&Behaviour::Stream(3));
    let world = world_of_small_engines(&engines).await;

    let answer = world.exchange(&prompt(10_000));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    let holders: Vec<_> = engines
        .iter()
        .filter(|engine| !engine.orders().is_empty())
        .collect();
    assert_eq!(holders.len(), 4);
    for holder in holders {
        assert!(holder.orders()[0].contains("reserve"));
        holder.wait_for_order("release");
    }
}

/// As above, but the engines refuse the orders: the prompt is refused, and reservations are released
/// immediately.
#[async_std::test]
async fn memory_that_cannot_be_reserved_everywhere_is_released() {
    let engines = five_engines(&Behaviour::Stream(3));
    for engine in &engines {
        engine.set_refuses_orders(true);
    }
    let world = world_of_small_engines(&engines).await;

    let answer = world.exchange(&prompt(10_000));

    assert_eq!(answer.status, 503);
    assert!(engines.iter().all(|engine| engine.arrivals().is_empty()));
    let holders = engines.iter().filter(|engine| !engine.orders().is_empty());
    for holder in holders {
        holder.wait_for_order("release");
    }
}

/// Guards against prompts sent to an engine whose report says that it is slow.
#[async_std::test]
async fn an_engine_that_reports_to_be_slow_gets_no_prompt() {
    let engines = [
        target("e-1", Behaviour::Stream(3)),
        target("e-2", Behaviour::Stream(3)),
    ];
    engines[0].set_pace(10.0);
    let world = world(&[&engines[0], &engines[1]], &[]).await;
    until(|| world.entry.pace_of("e-1") > 9.0).await;

    for _ in 0..4 {
        world.exchange(&prompt(5_000));
    }

    assert!(engines[0].arrivals().is_empty());
}

/// Guards against a stream that hangs after its engine has lost power: open connections to it don't break, and
/// only new ones fail.
#[async_std::test]
async fn a_stream_at_an_unreachable_engine_resumes_at_another() {
    let lost = target("e-1", Behaviour::StreamThenHang(2));
    let world = world(&[&lost], &[]).await;
    let mut caller = world.connect();
    caller.write(&prompt(5_000).text());
    lost.wait_for_arrivals(1);
    let other = target("e-2", Behaviour::Stream(4));
    world.store.publish_engine(&other);
    until(|| world.entry.ready_targets() == ["e-1", "e-2"]).await;

    lost.stop_listening();
    until(|| {
        world.exchange(&prompt(5_000));
        world.entry.is_unreachable("e-1")
    })
    .await;
    let answer = caller.read().unwrap();

    assert_eq!((answer.body, answer.is_whole), (events(1, 4), true));
}

/// Guards against ending a long prompt's stream when a leaving engine refuses to renew its reservation but still
/// serves what it has.
#[async_std::test]
async fn a_failed_renewal_does_not_end_the_stream() {
    let engines =
        ["e-1", "e-2", "e-3", "e-4", "e-5"].map(|id| target(id, Behaviour::StreamThenHang(2)));
    let world = world_of_small_engines(&engines).await;
    let mut caller = world.connect();
    caller.write(&prompt(10_000).text());
    caller.read_first_chunk();

    let holder = engines
        .iter()
        .find(|engine| !engine.orders().is_empty())
        .unwrap();
    for engine in &engines {
        engine.set_refuses_orders(true);
    }
    holder.wait_for_orders(4);

    assert!(engines.iter().all(|engine| engine.closed_by_peer() == 0));
    let released = holder
        .orders()
        .iter()
        .any(|order| order.contains("release"));
    assert!(!released);
}

/// Guards against memory that stays reserved without use for ten seconds: the engine accepts requests and
/// executes orders but works on no request, and the instance keeps renewing.
#[async_std::test]
async fn memory_that_no_request_uses_is_released() {
    let engines = ["e-1", "e-2", "e-3"].map(|id| target(id, Behaviour::Hang));
    for engine in &engines {
        engine.report_memory_unused();
    }
    let world = world(&engines.each_ref(), &[]).await;
    publish_long_deadlines(&world).await;
    let mut caller = world.connect();

    caller.write(&prompt(180_000).text());

    until(|| engines.iter().any(|engine| !engine.orders().is_empty())).await;
    let holder = engines.iter().find(|engine| !engine.orders().is_empty());
    holder.unwrap().wait_for_order("release");
}

/// Returns the addresses in the helpers' header of a request.
fn helpers(arrival: &Request) -> Vec<SocketAddr> {
    let text = arrival.header(HELPERS_HEADER).unwrap_or_default();
    let addresses = text.split(',').filter_map(|entry| entry.split('/').next());
    addresses
        .filter_map(|address| address.parse().ok())
        .collect()
}

/// Guards against a prompt whose attempts all fail since each one names the same dead engine as a helper,
/// though the first refusal named it as the cause.
#[async_std::test]
async fn a_helper_that_failed_is_not_chosen_again() {
    let dead: Arc<OnceLock<SocketAddr>> = Arc::default();
    let engines = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"].map(|id| {
        let dead = Arc::clone(&dead);
        TargetStandin::start_choosing(id, move |request| {
            let helpers = helpers(request);
            let Some(last) = helpers.last() else {
                return Behaviour::Stream(3);
            };
            let dead = *dead.get_or_init(|| *last);
            if helpers.contains(&dead) {
                return Behaviour::ShedBecauseOf(dead);
            }
            Behaviour::Stream(3)
        })
    });
    let world = world(&engines.each_ref(), &[]).await;
    publish_long_deadlines(&world).await;

    let answer = world.exchange(&prompt(380_000));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    let arrivals = engines.iter().map(|engine| engine.arrivals().len());
    assert_eq!(arrivals.sum::<usize>(), 2);
}

/// Guards against seconds of refused prompts after a crashed engine has restarted under another name: the store
/// still lists its old entry, so that one address appears twice among the helpers.
#[async_std::test]
async fn an_address_is_named_once_though_two_entries_have_it() {
    let engines = five_engines(&Behaviour::Stream(3));
    let world = world(&engines.each_ref(), &[]).await;
    for (number, engine) in engines.iter().enumerate() {
        let id = format!("e-old-{number}");
        let store = &world.store;
        store.publish_target(&id, ENGINES, engine.address(), "ready");
        store.publish_engine(engine);
    }
    let expected: Vec<String> = engines
        .iter()
        .map(|engine| engine.id().to_owned())
        .collect();
    until(|| world.entry.ready_targets() == expected).await;
    publish_long_deadlines(&world).await;

    let answer = world.exchange(&prompt(380_000));

    assert_eq!(answer.status, 200);
    let arrivals: Vec<Request> = engines.iter().flat_map(TargetStandin::arrivals).collect();
    let [arrival] = &arrivals[..] else {
        panic!("{arrivals:?}");
    };
    let mut named = helpers(arrival);
    let count = named.len();
    named.sort_unstable();
    named.dedup();
    assert!(count >= 2 && named.len() == count, "{arrival:?}");
}

/// Guards against memory that stays reserved for as long as a caller waits: the engine has restarted under its
/// name, and is ordered to renew a reservation for a prompt that it doesn't know.
#[async_std::test]
async fn memory_is_not_renewed_at_an_engine_that_has_restarted() {
    let engines =
        ["e-1", "e-2", "e-3", "e-4", "e-5"].map(|id| target(id, Behaviour::StreamThenHang(2)));
    let world = world_of_small_engines(&engines).await;
    let publish = |engine: &TargetStandin, started_at_ms| {
        let (id, address) = (engine.id(), engine.address());
        world
            .store
            .publish_run(id, ENGINES, address, "ready", Some(started_at_ms));
    };
    for engine in &engines {
        publish(engine, 1);
    }
    let is_run = |id: &String, run: &str| id.ends_with(run);
    until(|| {
        world
            .entry
            .ready_targets()
            .iter()
            .all(|id| is_run(id, "#1"))
    })
    .await;
    let mut caller = world.connect();
    caller.write(&prompt(10_000).text());
    caller.read_first_chunk();
    let mut holders = engines.iter().filter(|engine| !engine.orders().is_empty());
    let (restarted, other) = (holders.next().unwrap(), holders.next().unwrap());

    publish(restarted, 2);
    until(|| {
        world
            .entry
            .ready_targets()
            .iter()
            .any(|id| is_run(id, "#2"))
    })
    .await;
    let before = restarted.orders().len();
    other.wait_for_orders(other.orders().len() + 3);

    // One order may have been in flight when the instance learned of the restart.
    assert!(restarted.orders().len() <= before + 1);
}
