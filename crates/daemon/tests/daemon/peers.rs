//! Links between daemons.

use {
    super::{
        client::{ask, completion, get},
        fixture::{fast_engine, settings, start, until, world},
    },
    std::net::SocketAddr,
    whinlatch_daemon::app::Daemon,
    whinlatch_standins::platform::PlatformMode,
    whinlatch_wire::{
        caller::{Entries, OutcomeKind},
        report::{RecordsReport, StatusReport},
    },
};

async fn entries(daemon: &Daemon) -> Vec<SocketAddr> {
    let found: Entries = get(daemon, "/v1/entries").await;
    let addresses = found.entries.iter().map(|entry| entry.address);
    addresses.collect()
}

/// An address at which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[async_std::test]
async fn daemons_name_each_other_as_entries() {
    let world = world(1, fast_engine()).await;
    let one = world.daemon(world.settings("one")).await;
    let two = world.daemon(world.settings("two")).await;

    world.list(&[("one", &one), ("two", &two)]);

    for daemon in [&one, &two] {
        until(async || {
            let entries = entries(daemon).await;
            entries.contains(&one.caller_address()) && entries.contains(&two.caller_address())
        })
        .await;
    }
}

// A stranger reads the records, accounts among them, or feeds daemons with its own.
// It runs a daemon without the fleet's key and is listed beside the others.
// Cause: whoever reaches the port for peers is taken for one.
#[async_std::test]
async fn a_daemon_with_another_key_is_turned_away_and_gets_nothing() {
    let world = world(1, fast_engine()).await;
    let one = world.daemon(world.settings("one")).await;
    let mut strange = settings("strange", dead_address());
    strange.peer_key = "another key".to_owned();
    strange.seed_peers = vec![one.peer_address()];
    let strange = start(strange).await;

    world.list(&[("one", &one), ("strange", &strange)]);

    until(async || one.metrics().peers_turned_away() + strange.metrics().peers_turned_away() > 0)
        .await;
    assert_eq!(entries(&one).await, [one.caller_address()]);
    let report: RecordsReport = get(&strange, "/v1/records").await;
    assert_eq!(report.records, []);
    let status: StatusReport = get(&one, "/v1/status").await;
    assert!(!status.peers.iter().any(|peer| peer.linked));
}

// After an outage of the platform a new daemon refuses every caller.
// The daemon starts while the platform is down and holds no records.
// Cause: only the platform is asked for them, though the other daemons hold them all.
#[async_std::test]
async fn a_daemon_that_starts_while_the_platform_is_down_gets_the_records_from_a_peer() {
    let world = world(1, fast_engine()).await;
    let one = world.daemon(world.settings("one")).await;
    world.platform.set_mode(PlatformMode::Down);
    let mut late = world.settings("two");
    late.seed_peers = vec![one.peer_address()];
    let two = start(late).await;

    world.wait_until_ready(&two).await;
    let answer = ask(&two, completion(&two, "prompt")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}

#[async_std::test]
async fn a_daemon_goes_on_while_the_platform_is_down() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    world.platform.set_mode(PlatformMode::Silent);

    let answer = ask(&daemon, completion(&daemon, "prompt")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}
