//! Graceful shutdown of daemons and targets.

use {
    super::{
        client::{
            LONG_DEADLINE_MS, answer_to, call, completion, get, read_answer, send, send_and_read,
            ticket,
        },
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
    whinlatch_standins::{EngineOptions, Faults, PlainService, ServiceOptions},
    whinlatch_wire::{
        caller::{Entries, OutcomeKind, Reason},
        peer::TargetHealth,
        platform::{ListedState, ListedTarget},
        target::RefusalReason,
    },
};

/// Open streams when a daemon is stopped.
const STREAMS: usize = 3;
/// Tokens of an answer that is long enough to be incomplete when its daemon refuses new requests.
const LONG_ANSWER_TOKENS: u32 = 600;
/// Time for which callers cache entries, in ms.
const ENTRIES_TTL_MS: u64 = 1_000;
/// Calls to each daemon in each phase of the test of a leaving target.
const CALLS: usize = 10;

/// Guards against callers that are refused or lose their answer when a daemon is stopped: no entry may
/// list it any more before it refuses requests, streams in flight must complete, and then it exits by
/// itself.
#[test]
fn a_stopped_daemon_interrupts_no_request() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            engines: 2,
            engine: EngineOptions {
                decode_tokens_per_s: 50.0,
                answer_tokens: LONG_ANSWER_TOKENS,
                ..engine()
            },
            ..WorldOptions::default()
        })
        .await;
        publish(&world.platform, "policy", &policy(ENTRIES_TTL_MS));
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
        until("the daemon ended", async || {
            fleet[0].exit_status().is_some()
        })
        .await;
        assert!(fleet[0].exit_status().unwrap().success());
    });
}

/// Guards against callers whose connections break when a daemon is stopped: a stream and a call take longer
/// than its `shutdown_ms`, and the process exits in the middle of them without a word.
#[test]
fn what_a_stopped_daemon_cannot_finish_ends_with_an_outcome() {
    task::block_on(async {
        let world = World::start(WorldOptions {
            engines: 1,
            engine: EngineOptions {
                decode_tokens_per_s: 10.0,
                answer_tokens: LONG_ANSWER_TOKENS,
                ..engine()
            },
            services: 1,
            service: ServiceOptions {
                call_ms: LONG_DEADLINE_MS,
                ..ServiceOptions::default()
            },
        })
        .await;
        let mut settings = world.settings("d0");
        settings.shutdown_ms = 4_000;
        let daemon = Process::start(&settings).await;
        world.until_ready(&daemon).await;
        let prompt = completion(daemon.callers, "list the boxes", LONG_DEADLINE_MS);
        let stream = send(daemon.callers, prompt).await.unwrap();
        let ticket = ticket(daemon.callers, "label").await;
        let call = call(daemon.callers, "label", Some(ticket), LONG_DEADLINE_MS);
        let called = task::spawn(send_and_read(daemon.callers, call));
        until("the call runs", async || world.runs_of("label") == 1).await;

        daemon.terminate();

        for answer in [read_answer(stream).await, called.await] {
            let outcome = answer.expect("an outcome").outcome;
            assert_eq!(
                (outcome.outcome, outcome.reason),
                (OutcomeKind::Unknown, Reason::Leaving)
            );
        }
    });
}

async fn stream(daemon: SocketAddr, number: usize, open: Arc<AtomicUsize>) {
    let prompt = format!("manifest {number}\nlist the boxes");
    let head = send(daemon, completion(daemon, &prompt, LONG_DEADLINE_MS)).await;
    open.fetch_add(1, Ordering::SeqCst);
    let answer = read_answer(head.unwrap()).await.expect("a complete answer");
    assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
    assert_eq!(
        answer.text,
        answer_to(&prompt, u64::from(LONG_ANSWER_TOKENS))
    );
}

/// Requests tickets until the daemon refuses; by then no entry may list it.
async fn until_refused(own: SocketAddr, others: [SocketAddr; 2]) {
    until("the daemon refuses new requests", async || {
        let listed = [
            lists(others[0], own).await,
            lists(others[1], own).await,
            lists(own, own).await,
        ];
        let answer = send_and_read(own, call(own, "label", None, LONG_DEADLINE_MS)).await;
        let refused = answer.is_none_or(|answer| answer.outcome.reason == Reason::Leaving);
        assert!(!(refused && listed.contains(&true)), "{listed:?}");
        refused
    })
    .await;
}

/// Returns whether an entry lists a daemon for callers; one that has exited lists none.
async fn lists(entry: SocketAddr, daemon: SocketAddr) -> bool {
    let entries: Option<Entries> = get(entry, "/v1/entries").await;
    entries.is_some_and(|known| known.entries.iter().any(|entry| entry.address == daemon))
}

/// Guards against calls to a service whose report says that it is leaving while the platform's list
/// still has it as live: once a daemon has read the report, reading the list again must not make it
/// send calls there.
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
        let (refused, reads) = (refusals(&world), world.platform.stats().instance_reads);
        call_all(&fleet, "during").await;
        until("each daemon has read the list again", async || {
            world.platform.stats().instance_reads >= reads + 2 * fleet.len() as u64
        })
        .await;
        until_leaving(&fleet).await;
        call_all(&fleet, "after").await;
        assert_eq!(refusals(&world), refused);
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

/// Waits until each daemon considers the first service as leaving.
async fn until_leaving(fleet: &[Process]) {
    for daemon in fleet {
        until("the daemon knows that the service is leaving", async || {
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

/// Sends calls to each daemon and checks that all complete.
async fn call_all(fleet: &[Process], when: &str) {
    for daemon in fleet {
        for number in 0..CALLS {
            let body = format!("{when} {number} at {}", daemon.callers);
            let ticket = ticket(daemon.callers, &body).await;
            let request = call(daemon.callers, &body, Some(ticket), LONG_DEADLINE_MS);
            let answer = send_and_read(daemon.callers, request).await.unwrap();
            assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
            assert_eq!(answer.text, format!("ran {body}"));
        }
    }
}
