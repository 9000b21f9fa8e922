//! Fleets of instances, seeds, and an instance that leaves.

use {
    super::fixture::{
        SilentPeer, World, get, is_ready, start, start_with_clock, target, until, world,
    },
    async_std::task,
    std::sync::Arc,
    whinlatch_daemon::clock::{Clock, PausedClock},
    whinlatch_platform_standins::{
        Behaviour, Caller, CallerRequest, Fixture, SAFE_PREFIX, StoreMode, StoreStandin,
    },
};

/// Size of a fleet that is too large for a link between each two instances.
const LARGE_FLEET: usize = 14;
/// Step by which a paused clock is advanced, in ms: the interval at which instances send news.
const STEP_MS: u64 = 20;
/// Times that the test yields to other tasks after a step; work left then is done after the next step.
const YIELDS: usize = 1_000;
/// Timeout of a starting instance for opening a link, in ms.
const OPEN_TIMEOUT_MS: u64 = 150;

fn call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

fn resolved(entry: &whinlatch_daemon::entry::Entry) -> String {
    let path = "/v1/resolve?Name=calls.example&Region=r&Zone=east";
    get(entry.settings().directory_address, path).body
}

/// Guards against an instance that refuses all its callers while the store refuses its calls but serves
/// the other instances.
#[async_std::test]
async fn an_instance_that_the_store_refuses_learns_from_its_peers() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let first = world(&[], &[&plain]).await;
    let refusing = StoreStandin::start();
    refusing.set_mode(StoreMode::Throttled);

    let second = start(&refusing, &[first.entry.settings().peer_address]).await;
    until(|| is_ready(&second)).await;
    let answer = Caller::connect(second.settings().caller_address).exchange(&call());

    assert_eq!((answer.status, answer.body.as_str()), (200, "listing"));
    first.store.publish_draining(&plain);
    until(|| second.ready_targets().is_empty()).await;
}

#[async_std::test]
async fn callers_get_the_addresses_of_all_ready_instances() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let first = world(&[], &[&plain]).await;
    let second = start(&first.store, &[first.entry.settings().peer_address]).await;

    let addresses =
        [&first.entry, &second].map(|entry| entry.settings().caller_address.to_string());

    until(|| {
        let lists = [resolved(&first.entry), resolved(&second)];
        lists
            .iter()
            .all(|list| addresses.iter().all(|address| list.contains(address)))
    })
    .await;
}

/// Guards against callers that still connect to a leaving instance, and whose requests fail at its exit.
#[async_std::test]
async fn a_leaving_instance_is_no_longer_listed_and_completes_its_requests() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let World { store, entry } = world(&[], &[&plain]).await;
    let entry = Arc::new(entry);
    let second = start(&store, &[entry.settings().peer_address]).await;
    let address = entry.settings().caller_address;
    until(|| resolved(&second).contains(&address.to_string())).await;
    let mut kept = Caller::connect(address);
    assert_eq!(kept.exchange(&call()).header("Connection"), None);

    let leaving = task::spawn({
        let entry = Arc::clone(&entry);
        async move { entry.leave().await }
    });
    until(|| !is_ready(&entry)).await;
    let last = kept.exchange(&call());

    assert_eq!(
        (last.status, last.header("Connection")),
        (200, Some("close"))
    );
    until(|| !resolved(&second).contains(&address.to_string())).await;
    leaving.await;
}

/// Guards against a starting instance that doesn't find the fleet since one of its seeds is stale.
#[async_std::test]
async fn stale_seeds_are_skipped() {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    let first = start(&store, &[]).await;
    let nobody = "127.0.0.1:9".parse().unwrap();

    let second = start(&store, &[nobody, first.settings().peer_address]).await;

    until(|| first.peers() == 1 && second.peers() == 1).await;
}

/// Guards against an instance that stays alone, since all its seeds were stale at its start, after operators
/// have put live ones into its settings.
#[async_std::test]
async fn new_seeds_are_used_without_a_restart() {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    let first = start(&store, &[]).await;
    let second = start(&store, &[]).await;
    let mut settings = second.settings().clone();
    settings.seed_peers = vec![first.settings().peer_address];

    second.reload(&settings);

    until(|| first.peers() == 1 && second.peers() == 1).await;
}

/// Guards against a fleet of hundreds in which each instance calls the store for each change. In a fleet of over
/// twelve, two per failure domain do; the others follow them, and a change reaches all.
#[async_std::test]
async fn in_a_large_fleet_most_instances_follow_a_relay() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    store.publish_plain(&plain);
    let mut fleet = vec![start(&store, &[]).await];
    for _ in 1..LARGE_FLEET {
        let seed = fleet[0].settings().peer_address;
        fleet.push(start(&store, &[seed]).await);
    }
    let received_changes = |entry: &whinlatch_daemon::entry::Entry| {
        let metrics = get(entry.settings().metrics_address, "/metrics").body;
        !metrics.contains("whinlatch_entry_changes_told_total 0")
    };
    until(|| fleet.iter().filter(|entry| entry.follows_relay()).count() == LARGE_FLEET - 2).await;

    // The first change answers watches that were sent before the instance found a relay.
    store.publish_draining(&plain);
    until(|| fleet.iter().all(|entry| entry.ready_targets().is_empty())).await;
    let other = target("p-2", Behaviour::Serve("listing"));
    store.publish_plain(&other);

    until(|| fleet.iter().all(|entry| entry.ready_targets() == ["p-2"])).await;
    assert!(fleet.iter().any(received_changes));
}

/// Guards against prompts that are late for two seconds after all instances were lost: each chose engines as
/// if it were alone, since packets to a peer that isn't up yet are dropped and the usual timeout is long.
#[async_std::test]
async fn a_starting_instance_soon_gives_up_on_a_silent_peer() {
    let store = StoreStandin::start();
    let (peer, address) = SilentPeer::start();
    let clock = Arc::new(PausedClock::default());
    let shared_clock = Arc::clone(&clock) as Arc<dyn Clock>;
    let _entry = start_with_clock(store.address(), &[address], shared_clock).await;
    // Other tasks run after each step; a connection that isn't opened in one step is opened in a later one.
    while peer.accepted() == 0 {
        clock.advance(STEP_MS);
        for _ in 0..YIELDS {
            task::yield_now().await;
        }
    }

    clock.advance(OPEN_TIMEOUT_MS);

    until(|| peer.closed() > 0).await;
}
