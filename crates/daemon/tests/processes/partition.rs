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
/// may run only once, and both daemons must have the record once the link is restored.
#[test]
fn a_partition_runs_no_call_twice_and_heals() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            services: 2,
            service: ServiceOptions {
                call_ms: 20,
                ..ServiceOptions::default()
            },
            ..WorldOptions::default()
        })
        .await;
        let pair = Pair::start(&world).await;
        pair.relay.set_mode(RelayMode::Cut);
        for daemon in &pair.daemons {
            until("the link is closed", async || {
                linked(daemon).await == Some(0)
            })
            .await;
        }

        for number in 0..CALLS {
            call_both(&world, &pair.daemons, number).await;
        }
        pair.platform.set_mode(PlatformMode::Down);
        publish(&pair.platform, "policy", &policy(2_000));
        let newest = publish(&world.platform, "policy", &policy(2_000));
        until_newest(&pair.daemons[0], newest).await;
        pair.relay.set_mode(RelayMode::Pass);

        until_newest(&pair.daemons[1], newest).await;
        call_both(&world, &pair.daemons, CALLS).await;
    });
}

/// Two daemons whose link goes through a relay. Each reads its own platform, so that a record can
/// be published to one of them only.
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
        let mut first = settings("first", world.platform.address());
        first.seed_peers = vec![relay.address()];
        let first = Process::start(&first).await;
        let daemons = [first, second];
        for daemon in &daemons {
            world.until_ready(daemon).await;
            until_linked(daemon, 1).await;
        }
        Self {
            daemons,
            relay,
            platform,
        }
    }
}

/// Gets a ticket from each daemon and sends the call with it to both at the same time.
async fn call_both(world: &World, daemons: &[Process; 2], number: usize) {
    for home in daemons {
        let body = format!("label {number} of {}", home.callers);
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
        let report: Option<RecordsReport> = get(daemon.callers, "/v1/records").await;
        report.is_some_and(|report| report.newest == newest)
    })
    .await;
}
