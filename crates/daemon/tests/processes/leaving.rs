//! Daemons and targets that leave.

use {
    super::{
        client::{LONG_MS, answer_to, ask, call, completion, get, read_whole, send, ticket},
        process::Process,
        wait::until,
        world::{World, WorldOptions, engine, policy, publish, service_name, status},
    },
    async_std::task,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    whinlatch_standins::{EngineOptions, Faults, PlainService},
    whinlatch_wire::{
        caller::{Entries, OutcomeKind, Reason},
        peer::TargetHealth,
        platform::{ListedState, ListedTarget},
        target::RefusalReason,
    },
};

/// Streams that are open when a daemon is told to stop.
const STREAMS: usize = 3;
/// Tokens of an answer that is still on its way when its daemon refuses new requests.
const LONG_ANSWER: u32 = 600;
/// Time for which callers keep addresses, in ms.
const TTL_MS: u64 = 1_000;
/// Calls to each daemon after a target began to leave.
const CALLS: usize = 10;

/// An operator stops a daemon with answers on their way. Callers that ask for addresses must not
/// be sent to it any more before it refuses them; the answers on their way must come whole; then
/// the daemon ends by itself.
#[test]
fn a_daemon_told_to_stop_cuts_nothing_off() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            engines: 2,
            engine: EngineOptions {
                decode_tokens_per_s: 50.0,
                answer_tokens: LONG_ANSWER,
                ..engine()
            },
            ..WorldOptions::default()
        })
        .await;
        publish(&world.platform, "policy", &policy(TTL_MS));
        let mut fleet = world.fleet(3).await;
        let (own, others) = (fleet[0].callers, [fleet[1].callers, fleet[2].callers]);
        let open = Arc::new(AtomicUsize::new(0));
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| task::spawn(stream(own, number, Arc::clone(&open))))
            .collect();
        until("the streams are open", async || {
            open.load(Ordering::SeqCst) == STREAMS
        })
        .await;

        fleet[0].terminate();

        until_refused(own, others).await;
        for stream in streams {
            stream.await;
        }
        until("the daemon ended", async || fleet[0].ended().is_some()).await;
        assert!(fleet[0].ended().unwrap().success());
    });
}

async fn stream(daemon: SocketAddr, number: usize, open: Arc<AtomicUsize>) {
    let prompt = format!("manifest {number}\nlist the boxes");
    let head = send(daemon, completion(daemon, &prompt, LONG_MS)).await;
    open.fetch_add(1, Ordering::SeqCst);
    let answer = read_whole(head.unwrap()).await.expect("a whole answer");
    assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
    assert_eq!(answer.text, answer_to(&prompt, u64::from(LONG_ANSWER)));
}

/// Asks for tickets until the daemon refuses; by then no entry may name it.
async fn until_refused(own: SocketAddr, others: [SocketAddr; 2]) {
    until("the daemon refuses new requests", async || {
        let named = [
            names(others[0], own).await,
            names(others[1], own).await,
            names(own, own).await,
        ];
        let answer = ask(own, call(own, "label", None, LONG_MS)).await;
        let refused = answer.is_none_or(|answer| answer.outcome.reason == Reason::Leaving);
        assert!(!(refused && named.contains(&true)), "{named:?}");
        refused
    })
    .await;
}

/// Whether an entry instance tells callers to use a daemon; one that is gone tells nothing.
async fn names(asked: SocketAddr, daemon: SocketAddr) -> bool {
    let entries: Option<Entries> = get(asked, "/v1/entries").await;
    entries.is_some_and(|known| known.entries.iter().any(|entry| entry.address == daemon))
}

/// A service is about to leave and says so in its report, while the platform's list goes on naming
/// it as live. From the moment that a daemon has its word, no call may go there, however often the
/// list is read again.
#[test]
fn a_leaving_target_gets_nothing_new_though_it_is_listed() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            services: 2,
            ..WorldOptions::default()
        })
        .await;
        let fleet = world.fleet(3).await;
        list_services(&world, &fleet);
        call_all(&fleet, "before").await;
        let leaving = &world.services[0];

        leaving.set_faults(Faults {
            leaving: true,
            ..Faults::default()
        });

        until_leaving(&fleet).await;
        let (asked, reads) = (refusals(&world), world.platform.stats().instance_reads);
        call_all(&fleet, "during").await;
        until("each daemon has read the list again", async || {
            world.platform.stats().instance_reads >= reads + 2 * fleet.len() as u64
        })
        .await;
        until_leaving(&fleet).await;
        call_all(&fleet, "after").await;
        assert_eq!(refusals(&world), asked);
    });
}

fn list_services(world: &World, fleet: &[Process]) {
    let listed = world
        .services
        .iter()
        .enumerate()
        .map(|(number, service)| listed_service(number, service));
    world.list_with(fleet, listed.collect());
}

fn listed_service(number: usize, service: &PlainService) -> ListedTarget {
    ListedTarget {
        target: service_name(number).as_str().into(),
        incarnation: service.incarnation(),
        address: service.address(),
        state: ListedState::Live,
    }
}

fn refusals(world: &World) -> u64 {
    let refused = world.services[0].stats().refusals;
    refused.get(&RefusalReason::Leaving).copied().unwrap_or(0)
}

/// Waits until each daemon holds the first service to be leaving.
async fn until_leaving(fleet: &[Process]) {
    for daemon in fleet {
        until("the daemon knows that the service leaves", async || {
            let status = status(daemon).await;
            status.is_some_and(|status| {
                status.targets.iter().any(|target| {
                    target.target.as_str() == service_name(0)
                        && target.health == TargetHealth::Leaving
                })
            })
        })
        .await;
    }
}

/// Runs calls at each daemon; all come through.
async fn call_all(fleet: &[Process], when: &str) {
    for daemon in fleet {
        for number in 0..CALLS {
            let body = format!("{when} {number} at {}", daemon.callers);
            let ticket = ticket(daemon.callers, &body).await;
            let request = call(daemon.callers, &body, Some(ticket), LONG_MS);
            let answer = ask(daemon.callers, request).await.unwrap();
            assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
            assert_eq!(answer.text, format!("ran {body}"));
        }
    }
}
