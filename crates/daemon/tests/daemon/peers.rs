//! Links between daemons.

use {
    super::{
        client::{completion, get, send_and_read},
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

/// Returns an address at which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[async_std::test]
async fn daemons_list_each_other_as_entries() {
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

// Guards against a daemon without the fleet's key that reads the records, accounts among them, or sends
// its own to others: it is listed with them and reaches their port for peers.
#[async_std::test]
async fn a_daemon_with_another_key_is_refused_and_gets_no_records() {
    let world = world(1, fast_engine()).await;
    let one = world.daemon(world.settings("one")).await;
    let mut foreign = settings("foreign", dead_address());
    foreign.peer_key = "another key".to_owned();
    foreign.seed_peers = vec![one.peer_address()];
    let foreign = start(foreign).await;

    world.list(&[("one", &one), ("foreign", &foreign)]);

    until(async || one.metrics().refused_links() + foreign.metrics().refused_links() > 0).await;
    assert_eq!(entries(&one).await, [one.caller_address()]);
    let report: RecordsReport = get(&foreign, "/v1/records").await;
    assert_eq!(report.records, []);
    let status: StatusReport = get(&one, "/v1/status").await;
    assert!(!status.peers.iter().any(|peer| peer.linked));
}

// Guards against a new daemon that refuses every caller because it started while the platform was down
// and reads records only from there, though its peers have them all.
#[async_std::test]
async fn a_daemon_that_starts_while_the_platform_is_down_gets_the_records_from_a_peer() {
    let world = world(1, fast_engine()).await;
    let one = world.daemon(world.settings("one")).await;
    world.platform.set_mode(PlatformMode::Down);
    let mut settings = world.settings("two");
    settings.seed_peers = vec![one.peer_address()];
    let two = start(settings).await;

    world.wait_until_ready(&two).await;
    let answer = send_and_read(&two, completion(&two, "prompt")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}

#[async_std::test]
async fn a_running_daemon_serves_while_the_platform_is_silent() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    world.platform.set_mode(PlatformMode::Silent);

    let answer = send_and_read(&daemon, completion(&daemon, "prompt")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
}
