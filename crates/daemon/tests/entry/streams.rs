//! Prompts and their streams.

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

/// Engines of which none holds a prompt of 10,000 tokens.
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

/// Has callers wait for well over a minute, so that no prompt is refused for its length, and no
/// attempt ends by the caller's time.
async fn wait_for_patience(world: &World) {
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
async fn a_stream_is_passed_on_whole() {
    let engine = target("e-1", Behaviour::Stream(4));
    let world = world(&[&engine], &[]).await;

    let answer = world.ask(&prompt(5_000));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(1, 4));
    assert_eq!(answer.header(SEAL_HEADER), Some("seal"));
    let arrived = &engine.arrivals()[0];
    assert_eq!(arrived.header(TOKENS_HEADER), Some("5000,80"));
    assert_eq!(arrived.header(HELPERS_HEADER), None);
}

/// A reply has a sentence twice, or half of one: an engine breaks off in the middle of an event,
/// and another goes on after the last whole one.
#[async_std::test]
async fn a_stream_that_breaks_goes_on_at_another_engine() {
    let engines = [
        target("e-1", Behaviour::Stream(5)),
        target("e-2", Behaviour::Stream(5)),
    ];
    engines[0].script([Behaviour::StreamBroken(2)]);
    engines[1].script([Behaviour::StreamBroken(2)]);
    let world = world(&[&engines[0], &engines[1]], &[]).await;

    // Both engines break one stream each. The first prompt meets both, since the one that resumes
    // has sent nothing new yet; the second meets none.
    let first = world.ask(&prompt(5_000));
    let second = world.ask(&prompt(5_000));

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

/// As above, and the engine that goes on sends the rest: half a sentence of the first one stands
/// before it.
#[async_std::test]
async fn half_an_event_is_no_part_of_a_resumed_stream() {
    let asked = Arc::new(AtomicUsize::new(0));
    let engines = ["e-1", "e-2"].map(|id| {
        let asked = Arc::clone(&asked);
        TargetStandin::start_choosing(id, move |_request| {
            match asked.fetch_add(1, Ordering::SeqCst) {
                0 => Behaviour::StreamBroken(2),
                _ => Behaviour::Stream(5),
            }
        })
    });
    let world = world(&engines.each_ref(), &[]).await;

    let answer = world.ask(&prompt(5_000));

    assert_eq!((answer.body, answer.is_whole), (events(1, 5), true));
    assert_eq!(asked.load(Ordering::SeqCst), 2);
}

#[async_std::test]
async fn a_resumed_stream_is_whole_and_has_each_event_once() {
    let engine = target("e-1", Behaviour::Stream(5));
    let world = world(&[&engine], &[]).await;
    let broken = target("e-2", Behaviour::StreamBroken(3));
    world.store.publish_engine(&broken);
    world.store.remove_target(engine.id());
    super::fixture::until(|| world.entry.ready_targets() == ["e-2"]).await;
    let mut caller = world.connect();

    caller.write(&prompt(5_000).text());
    broken.wait_for_arrivals(1);
    let answer = caller.read().unwrap();

    // No other engine is published: the answer ends early and doesn't look whole.
    assert_eq!((answer.body, answer.is_whole), (events(1, 3), false));
}

/// A member history is read twice and its caller waits twice as long: the engine is full and says
/// that it hasn't begun.
#[async_std::test]
async fn a_prompt_that_an_engine_turned_away_goes_to_another() {
    let engines = [
        target("e-1", Behaviour::Stream(3)),
        target("e-2", Behaviour::Stream(3)),
    ];
    engines[0].script([Behaviour::Shed]);
    engines[1].script([Behaviour::Shed]);
    let world = world(&[&engines[0], &engines[1]], &[]).await;

    let statuses = [prompt(5_000), prompt(5_000)].map(|ask| world.ask(&ask).status);

    assert!(
        statuses == [503, 200] || statuses == [200, 200],
        "{statuses:?}"
    );
}

/// An engine writes for nobody: the caller closed its connection in the middle of the stream.
#[async_std::test]
async fn a_caller_that_leaves_ends_its_stream_at_the_engine() {
    let engine = target("e-1", Behaviour::StreamThenHang(2));
    let world = world(&[&engine], &[]).await;
    let mut caller = world.connect();
    caller.write(&prompt(5_000).text());
    let first = caller.read_first_chunk();

    caller.disconnect();

    assert!(first.starts_with("id: 1\n"));
    engine.wait_for_close();
}

/// A long prompt is late though engines are idle: one of them reads all of it.
#[async_std::test]
async fn a_long_prompt_is_read_by_several_engines() {
    let engines = [
        target("e-1", Behaviour::Stream(3)),
        target("e-2", Behaviour::Stream(3)),
        target("e-3", Behaviour::Stream(3)),
    ];
    let world = world(&[&engines[0], &engines[1], &engines[2]], &[]).await;

    let answer = world.ask(&prompt(180_000));

    assert_eq!(answer.status, 200);
    let answering: Vec<_> = engines
        .iter()
        .filter(|engine| !engine.arrivals().is_empty())
        .collect();
    assert_eq!(answering.len(), 1);
    let arrived = &answering[0].arrivals()[0];
    let entries: Vec<&str> = arrived.header(HELPERS_HEADER).unwrap().split(',').collect();
    // Its own part goes first by a little memory of its own; the helpers have none.
    let own = format!("{}/", answering[0].address());
    assert_eq!(entries.len(), 3);
    assert!(entries[0].starts_with(&own));
    assert!(entries[1..].iter().all(|entry| !entry.contains('/')));
    answering[0].wait_for_order("release");
}

/// A prompt larger than an engine's memory is refused by every engine, or memory stays set aside
/// after it: it must be set aside before the prompt is sent, and given back at its end.
#[async_std::test]
async fn memory_is_set_aside_for_a_prompt_that_no_engine_holds_and_given_back() {
    let engines = five_engines(&Behaviour::Stream(3));
    let world = world_of_small_engines(&engines).await;

    let answer = world.ask(&prompt(10_000));

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

/// As above, but an engine has no room: the prompt is refused, and what the others set aside is
/// given back at once.
#[async_std::test]
async fn memory_that_can_not_be_set_aside_everywhere_is_given_back() {
    let engines = five_engines(&Behaviour::Stream(3));
    for engine in &engines {
        engine.set_refuses_orders(true);
    }
    let world = world_of_small_engines(&engines).await;

    let answer = world.ask(&prompt(10_000));

    assert_eq!(answer.status, 503);
    assert!(engines.iter().all(|engine| engine.arrivals().is_empty()));
    let holders = engines.iter().filter(|engine| !engine.orders().is_empty());
    for holder in holders {
        holder.wait_for_order("release");
    }
}

/// Every reply of one engine comes late: it is slow, says so in its report, and gets prompts all
/// the same.
#[async_std::test]
async fn an_engine_that_reports_to_be_slow_gets_no_prompt() {
    let engines = [
        target("e-1", Behaviour::Stream(3)),
        target("e-2", Behaviour::Stream(3)),
    ];
    engines[0].set_pace(10.0);
    let world = world(&[&engines[0], &engines[1]], &[]).await;
    super::fixture::until(|| world.entry.pace_of("e-1") > 9.0).await;

    for _ in 0..4 {
        world.ask(&prompt(5_000));
    }

    assert!(engines[0].arrivals().is_empty());
}

/// A reply stops in the middle and its caller leaves: the engine has lost power, its connections
/// stay open, and only those who open a new one learn of it.
#[async_std::test]
async fn a_stream_at_an_engine_out_of_reach_goes_on_at_another() {
    let lost = target("e-1", Behaviour::StreamThenHang(2));
    let world = world(&[&lost], &[]).await;
    let mut caller = world.connect();
    caller.write(&prompt(5_000).text());
    lost.wait_for_arrivals(1);
    let other = target("e-2", Behaviour::Stream(4));
    world.store.publish_engine(&other);
    super::fixture::until(|| world.entry.ready_targets() == ["e-1", "e-2"]).await;

    lost.stop_listening();
    super::fixture::until(|| {
        world.ask(&prompt(5_000));
        world.entry.is_unreachable("e-1")
    })
    .await;
    let answer = caller.read().unwrap();

    assert_eq!((answer.body, answer.is_whole), (events(1, 4), true));
}

/// A long audit is cut off in the middle: an engine that holds a part of its memory is about to
/// leave and renews nothing more, while it still serves what it has.
#[async_std::test]
async fn a_stream_whose_memory_is_not_renewed_is_left_to_its_engines() {
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
    let given_back = holder
        .orders()
        .iter()
        .any(|order| order.contains("release"));
    assert!(!given_back);
}

/// Memory of an engine is out of use for ten seconds: the engine takes requests, works on none and
/// carries out orders all the same, and the instance renews what no request uses.
#[async_std::test]
async fn memory_that_no_request_uses_is_given_back() {
    let engines = ["e-1", "e-2", "e-3"].map(|id| target(id, Behaviour::Hang));
    for engine in &engines {
        engine.report_memory_unused();
    }
    let world = world(&engines.each_ref(), &[]).await;
    wait_for_patience(&world).await;
    let mut caller = world.connect();

    caller.write(&prompt(180_000).text());

    super::fixture::until(|| engines.iter().any(|engine| !engine.orders().is_empty())).await;
    let holder = engines.iter().find(|engine| !engine.orders().is_empty());
    holder.unwrap().wait_for_order("release");
}

/// Addresses of the engines that a prompt says help to read it.
fn helpers(arrival: &Request) -> Vec<SocketAddr> {
    let text = arrival.header(HELPERS_HEADER).unwrap_or_default();
    let addresses = text.split(',').filter_map(|entry| entry.split('/').next());
    addresses
        .filter_map(|address| address.parse().ok())
        .collect()
}

/// A caller with a long prompt is told that several targets didn't take it: one engine has died, and
/// each attempt names it among those that help, though the first refusal said whose fault it was.
#[async_std::test]
async fn an_engine_that_did_not_help_is_not_asked_to_help_again() {
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
    wait_for_patience(&world).await;

    let answer = world.ask(&prompt(380_000));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    let arrivals = engines.iter().map(|engine| engine.arrivals().len());
    assert_eq!(arrivals.sum::<usize>(), 2);
}

/// Callers are told that engines didn't take their prompts, for seconds: a crashed engine has started
/// again under another name while the store still holds its old entry, so that one address is named
/// twice among those that help.
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
    wait_for_patience(&world).await;

    let answer = world.ask(&prompt(380_000));

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

/// Memory of an engine is out of use for as long as a caller waits: the engine has started again under
/// its name, and is given the order to keep memory for a prompt that it knows nothing of.
#[async_std::test]
async fn memory_is_not_renewed_at_an_engine_that_has_started_again() {
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

    // An order that was on its way when the news came may be one more.
    assert!(restarted.orders().len() <= before + 1);
}
