//! Records while the platform is down, and when it returns with outdated records.

use {
    super::{
        client::{LONG_DEADLINE_MS, answer_to, completion, get, send_and_read},
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

/// Addresses for peers: one that sorts before all others and one that sorts after them.
const LOWEST_AND_HIGHEST: [SocketAddr; 2] = [on_loopback(1), on_loopback(9)];

const fn on_loopback(last: u8) -> SocketAddr {
    SocketAddr::V4(std::net::SocketAddrV4::new(
        std::net::Ipv4Addr::new(127, 0, 0, last),
        0,
    ))
}

/// Guards against a daemon that can't serve because the platform is down from its start on: it must
/// get the records from the seed peer of its settings. Only the new daemon knows of the other, so the
/// link must open whichever of the two has the lower address.
#[test]
fn a_daemon_that_starts_while_the_platform_is_down_serves() {
    task::block_on(async {
        let world = engine_world().await;
        let old = first_daemon(&world).await;
        world.platform.set_mode(PlatformMode::Down);

        for (number, peer_address) in LOWEST_AND_HIGHEST.into_iter().enumerate() {
            let name = format!("new-{number}");
            let new = start_with_seed(&world, &name, peer_address, &old).await;

            world.until_ready(&new).await;
            let prompt = format!("manifest {number}");
            let answer = send_and_read(
                new.callers,
                completion(new.callers, &prompt, LONG_DEADLINE_MS),
            )
            .await;
            let answer = answer.unwrap();
            assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
            assert_eq!(answer.text, answer_to(&prompt, 32));
            assert_eq!(records_of(&new).await, records_of(&old).await);
        }
    });
}

/// Guards against records that revert when the platform returns from an outage with the state of an
/// earlier revision: one record has its old value, a deleted one exists again, and a third is missing.
/// Neither running daemons nor new ones may take that state over. Once the platform is correct again,
/// a newly published record must come into force on all of them.
#[test]
fn a_stale_platform_reverts_no_record() {
    task::block_on(async {
        let world = engine_world().await;
        let deleted = route(&json!({ "type": "model", "model": "gone" }));
        let before = publish(&world.platform, "routes/gone", &deleted);
        let old = first_daemon(&world).await;
        until_newest(&old, before).await;
        publish(&world.platform, "policy", &policy(2_000));
        publish(
            &world.platform,
            "routes/late",
            &route(&json!({ "type": "model", "model": "late" })),
        );
        let newest = world.platform.publish("routes/gone", None);
        until_newest(&old, newest).await;
        let current = records_of(&old).await;
        world.platform.set_mode(PlatformMode::Down);
        let mut fleet = vec![old];
        for (number, peer_address) in LOWEST_AND_HIGHEST.into_iter().enumerate() {
            let name = format!("new-{number}");
            fleet.push(start_with_seed(&world, &name, peer_address, &fleet[0]).await);
        }

        world.platform.set_mode(PlatformMode::StaleAsOf(before));

        let reads = world.platform.stats().record_reads;
        until("each daemon has read the outdated records", async || {
            world.platform.stats().record_reads >= reads + 2 * fleet.len() as u64
        })
        .await;
        for daemon in &fleet {
            until_newest(daemon, newest).await;
            assert_eq!(records_of(daemon).await, current);
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

/// Starts a daemon with another one as its only seed peer.
async fn start_with_seed(
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

/// Returns the records of a daemon, without the instances that have them.
async fn records_of(daemon: &Process) -> Vec<RecordStatus> {
    let records = report(daemon).await.unwrap().records;
    let without_instances = |record| RecordStatus {
        instances: Vec::new(),
        ..record
    };
    records.into_iter().map(without_instances).collect()
}

async fn until_newest(daemon: &Process, revision: Revision) {
    until("the daemon has the revision", async || {
        report(daemon)
            .await
            .is_some_and(|report| report.newest == revision)
    })
    .await;
}

/// Waits until each daemon has the policy of a revision in force, and knows that all others have it.
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
        until("all daemons have the new policy in force", async || {
            report(daemon)
                .await
                .is_some_and(|report| report.records.contains(&expected))
        })
        .await;
    }
}
