//! Network partitions between daemons that both serve callers.

use {
    super::{
        client::{Answer, LONG_DEADLINE_MS, call, get, send_and_read, ticket},
        process::Process,
        wait::until,
        world::{World, WorldOptions, linked, policy, publish, settings, until_idle, until_linked},
    },
    async_std::task,
    whinlatch_standins::{
        Platform, PlatformOptions, Relay, RelayOptions, ServiceOptions, platform::PlatformMode,
        relay::RelayMode,
    },
    whinlatch_wire::{caller::OutcomeKind, ids::Revision, report::RecordsReport},
};

/// Calls with a ticket of each daemon during the partition.
const CALLS: usize = 10;

/// Guards against calls that run twice and records that stay different after a partition: callers send
/// each call to both daemons at the same time, and one daemon reads a new record meanwhile. Each call
/// may run only once, and both daemons must have the record once they can reach each other.
#[test]
fn a_partition_runs_no_call_twice_and_heals() {
    task::block_on(async {
        let world = world().await;
        let pair = Pair::start(&world).await;

        for number in 0..CALLS {
            call_both(&world, &pair.daemons, &format!("apart {number}")).await;
        }
        pair.platform.set_mode(PlatformMode::Down);
        publish(&pair.platform, "policy", &policy(2_000));
        let newest = publish(&world.platform, "policy", &policy(2_000));
        until_newest(&pair.daemons[0], newest).await;
        assert_ne!(newest_of(&pair.daemons[1]).await, Some(newest));
        for daemon in &pair.daemons {
            assert_eq!(linked(daemon).await, Some(0));
        }
        pair.relay.set_mode(RelayMode::Pass);

        until_newest(&pair.daemons[1], newest).await;
        call_both(&world, &pair.daemons, "together").await;
    });
}

/// Guards against calls that run twice because the link to the home of their ticket breaks: the other
/// daemon knows the home and forwards them, while the two open a new link.
#[test]
fn a_broken_link_runs_no_call_twice() {
    task::block_on(async {
        let world = world().await;
        let pair = Pair::start(&world).await;
        pair.relay.set_mode(RelayMode::Pass);
        for daemon in &pair.daemons {
            until_linked(daemon, 1).await;
        }

        pair.relay.set_mode(RelayMode::Cut);

        until("the link is cut", async || pair.relay.stats().open == 0).await;
        for number in 0..CALLS {
            call_both(&world, &pair.daemons, &format!("cut {number}")).await;
        }
        for daemon in &pair.daemons {
            until_linked(daemon, 1).await;
        }
        call_both(&world, &pair.daemons, "together").await;
    });
}

async fn world() -> World {
    World::start(WorldOptions {
        services: 2,
        service: ServiceOptions {
            call_ms: 20,
            ..ServiceOptions::default()
        },
        ..WorldOptions::default()
    })
    .await
}

/// Two daemons that know of each other only what they learn through a relay, which is cut at first: once they
/// are linked, each knows the address of the other and needs the relay no more. Each reads its own platform, so
/// that a record can be published to one of them only.
struct Pair {
    daemons: [Process; 2],
    relay: Relay,
    platform: Platform,
}

impl Pair {
    async fn start(world: &World) -> Self {
        let platform = Platform::start(PlatformOptions::default()).await.unwrap();
        world.publish_all(&platform);
        let mut second = settings("second", platform.address());
        second.peer_address = ([127, 0, 0, 9], 0).into();
        let second = Process::start(&second).await;
        let relay = Relay::start(RelayOptions {
            listen: ([127, 0, 0, 5], 0).into(),
            to: second.peers,
        })
        .await
        .unwrap();
        relay.set_mode(RelayMode::Cut);
        let mut first = settings("first", world.platform.address());
        first.seed_peers = vec![relay.address()];
        let first = Process::start(&first).await;
        let daemons = [first, second];
        for daemon in &daemons {
            world.until_ready(daemon).await;
        }
        Self {
            daemons,
            relay,
            platform,
        }
    }
}

/// Gets a ticket from each daemon and sends the call with it to both at the same time.
async fn call_both(world: &World, daemons: &[Process; 2], label: &str) {
    for home in daemons {
        let body = format!("label {label} of {}", home.callers);
        let ticket = ticket(home.callers, &body).await;
        let sent = daemons.each_ref().map(|daemon| {
            let request = call(daemon.callers, &body, Some(ticket), LONG_DEADLINE_MS);
            task::spawn(send_and_read(daemon.callers, request))
        });
        let mut completed = 0;
        for answer in sent {
            completed += usize::from(is_completed(&answer.await.unwrap(), &body));
        }
        assert!(completed > 0, "no daemon completed the call");
        for daemon in daemons {
            until_idle(daemon).await;
        }
        assert_eq!(world.runs_of(&body), 1);
    }
}

fn is_completed(answer: &Answer, body: &str) -> bool {
    match answer.kind() {
        OutcomeKind::Completed => assert_eq!(answer.text, format!("ran {body}")),
        OutcomeKind::Unknown => return false,
        OutcomeKind::NotRun => panic!("the call ran: {answer:?}"),
    }
    true
}

async fn until_newest(daemon: &Process, newest: Revision) {
    until("the daemon has the new record", async || {
        newest_of(daemon).await == Some(newest)
    })
    .await;
}

/// Returns the newest revision that a daemon holds; `None` if it doesn't answer.
async fn newest_of(daemon: &Process) -> Option<Revision> {
    let report: Option<RecordsReport> = get(daemon.callers, "/v1/records").await;
    report.map(|report| report.newest)
}
