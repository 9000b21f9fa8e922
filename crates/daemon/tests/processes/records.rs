//! Records while the platform is down, and when it comes back with an old view.

use {
    super::{
        client::{LONG_MS, answer_to, ask, completion, get},
        process::Process,
        wait::until,
        world::{World, WorldOptions, policy, publish, route, settings},
    },
    async_std::task,
    serde_json::json,
    std::net::SocketAddr,
    whinlatch_standins::platform::PlatformMode,
    whinlatch_wire::{
        caller::OutcomeKind,
        ids::{InstanceName, Revision},
        report::{RecordState, RecordStatus, RecordsReport},
    },
};

/// An address for peers that sorts before all others, and one that sorts after them.
const FIRST_AND_LAST: [SocketAddr; 2] = [on_loopback(1), on_loopback(9)];

const fn on_loopback(last: u8) -> SocketAddr {
    SocketAddr::V4(std::net::SocketAddrV4::new(
        std::net::Ipv4Addr::new(127, 0, 0, last),
        0,
    ))
}

/// The platform is down when a daemon starts, for the whole of its life. It gets the records from
/// the peer that its settings name, and serves. Whichever of the two has the lower address: only
/// the new one knows of the other.
#[test]
fn a_daemon_that_starts_while_the_platform_is_down_serves() {
    task::block_on(async {
        let world = engine_world().await;
        let old = first_daemon(&world).await;
        world.platform.set_mode(PlatformMode::Down);

        for (number, peer_address) in FIRST_AND_LAST.into_iter().enumerate() {
            let name = format!("new-{number}");
            let new = daemon_beside(&world, &name, peer_address, &old).await;

            world.until_ready(&new).await;
            let prompt = format!("manifest {number}");
            let answer = ask(new.callers, completion(new.callers, &prompt, LONG_MS)).await;
            let answer = answer.unwrap();
            assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
            assert_eq!(answer.text, answer_to(&prompt, 32));
            assert_eq!(held(&new).await, held(&old).await);
        }
    });
}

/// The platform comes back from an outage with the view of an earlier revision: a record stands
/// there as it was before its change, another one that was deleted is there again, and a third is
/// missing. A daemon that starts now reads that view, and the others read it too. None goes back.
/// When the platform is right again, a newly published record is in force everywhere.
#[test]
fn a_stale_platform_takes_no_record_back() {
    task::block_on(async {
        let world = engine_world().await;
        let deleted = route(&json!({ "type": "model", "model": "gone" }));
        let before = publish(&world.platform, "routes/gone", &deleted);
        let old = first_daemon(&world).await;
        until_held(&old, before).await;
        publish(&world.platform, "policy", &policy(2_000));
        publish(
            &world.platform,
            "routes/late",
            &route(&json!({ "type": "model", "model": "late" })),
        );
        let newest = world.platform.publish("routes/gone", None);
        until_held(&old, newest).await;
        let present = held(&old).await;
        world.platform.set_mode(PlatformMode::Down);
        let mut fleet = vec![old];
        for (number, peer_address) in FIRST_AND_LAST.into_iter().enumerate() {
            let name = format!("new-{number}");
            fleet.push(daemon_beside(&world, &name, peer_address, &fleet[0]).await);
        }

        world.platform.set_mode(PlatformMode::StaleAsOf(before));

        let reads = world.platform.stats().record_reads;
        until("each daemon has read the old view", async || {
            world.platform.stats().record_reads >= reads + 2 * fleet.len() as u64
        })
        .await;
        for daemon in &fleet {
            until_held(daemon, newest).await;
            assert_eq!(held(daemon).await, present);
        }
        world.platform.set_mode(PlatformMode::Normal);
        let published = publish(&world.platform, "policy", &policy(1_500));
        until_in_force(&fleet, published).await;
    });
}

async fn engine_world() -> World {
    World::start(WorldOptions {
        engines: 1,
        ..WorldOptions::default()
    })
    .await
}

async fn first_daemon(world: &World) -> Process {
    let mut settings = world.settings("old");
    settings.peer_address = on_loopback(5);
    let daemon = Process::start(&settings).await;
    world.until_ready(&daemon).await;
    daemon
}

/// Starts a daemon that knows of one other by its settings.
async fn daemon_beside(
    world: &World,
    name: &str,
    peer_address: SocketAddr,
    other: &Process,
) -> Process {
    let mut settings = settings(name, world.platform.address());
    settings.peer_address = peer_address;
    settings.seed_peers = vec![other.peers];
    Process::start(&settings).await
}

async fn report(daemon: &Process) -> Option<RecordsReport> {
    get(daemon.callers, "/v1/records").await
}

/// The records that a daemon holds, but for who else holds them.
async fn held(daemon: &Process) -> Vec<RecordStatus> {
    let records = report(daemon).await.unwrap().records;
    let alone = |record| RecordStatus {
        instances: Vec::new(),
        ..record
    };
    records.into_iter().map(alone).collect()
}

async fn until_held(daemon: &Process, revision: Revision) {
    until("the daemon holds the revision", async || {
        report(daemon)
            .await
            .is_some_and(|report| report.newest == revision)
    })
    .await;
}

/// Waits until each daemon has the policy of a revision in force, and knows that all hold it.
async fn until_in_force(fleet: &[Process], revision: Revision) {
    let mut instances: Vec<InstanceName> = Vec::new();
    for daemon in fleet {
        instances.push(report(daemon).await.unwrap().instance);
    }
    instances.sort();
    let expected = RecordStatus {
        key: "policy".into(),
        revision,
        in_force: Some(revision),
        state: RecordState::InForce,
        instances,
    };
    for daemon in fleet {
        until("all daemons hold the new policy", async || {
            report(daemon)
                .await
                .is_some_and(|report| report.records.contains(&expected))
        })
        .await;
    }
}
