//! Calls that aren't idempotent run at most once, whichever process fails at whichever moment.

use {
    super::{
        client::{Answer, LONG_DEADLINE_MS, call, send_and_read, ticket},
        process::Process,
        wait::{until, until_past},
        world::{World, WorldOptions, service_name, status, until_idle},
    },
    async_std::task,
    std::time::{Duration, Instant},
    whinlatch_standins::{AnswerFault, CrashOptions, Faults, PlainService, ServiceOptions},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::Ticket,
    },
};

/// Services that can run a call.
const SERVICES: usize = 2;
/// Duration of a call that is interrupted, in ms; never reached in a test.
const ENDLESS_MS: u64 = 600_000;
/// A deadline that is reached in the test, in ms.
const SHORT_DEADLINE_MS: u64 = 3_000;

/// Starts services whose calls take `call_ms`, and no engines.
async fn services(call_ms: u64) -> World {
    let service = ServiceOptions {
        call_ms,
        ..ServiceOptions::default()
    };
    World::start(WorldOptions {
        services: SERVICES,
        service,
        ..WorldOptions::default()
    })
    .await
}

async fn resend(daemon: &Process, body: &str, ticket: Ticket) -> Answer {
    let request = call(daemon.callers, body, Some(ticket), LONG_DEADLINE_MS);
    send_and_read(daemon.callers, request).await.unwrap()
}

fn send_in_background(
    daemon: &Process,
    body: &str,
    ticket: Ticket,
    deadline_ms: u64,
) -> task::JoinHandle<Option<Answer>> {
    let request = call(daemon.callers, body, Some(ticket), deadline_ms);
    task::spawn(send_and_read(daemon.callers, request))
}

async fn until_running(world: &World, body: &str) {
    until("the call is at a service", async || world.runs_of(body) > 0).await;
}

/// Sends the call again to every daemon with the ticket; each must answer `unknown` without running it.
async fn assert_unknown_everywhere(daemons: &[Process], body: &str, ticket: Ticket) {
    for daemon in daemons {
        let answer = resend(daemon, body, ticket).await;
        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        until_idle(daemon).await;
    }
}

/// Guards against a second run of a call whose home dies while the service runs it: the caller sees the
/// connection break and sends the call to another daemon, which can't know whether it ran and must
/// answer `unknown`.
#[test]
fn a_home_killed_during_a_call_leaves_one_run() {
    task::block_on(async {
        let world = services(ENDLESS_MS).await;
        let mut fleet = world.fleet(3).await;
        let ticket = ticket(fleet[0].callers, "label 1").await;
        let first = send_in_background(&fleet[0], "label 1", ticket, LONG_DEADLINE_MS);
        until_running(&world, "label 1").await;

        fleet[0].kill();

        assert!(first.await.is_none(), "an answer from a dead daemon");
        assert_unknown_everywhere(&fleet[1..], "label 1", ticket).await;
        assert_eq!(world.runs_of("label 1"), 1);
    });
}

/// Guards against a run of a call after its home died between issuing the ticket and receiving the call.
/// Nothing ran, but no other daemon can know that, because the home may have sent the call before it
/// died: the answer must be `unknown`.
#[test]
fn a_home_killed_before_a_call_leaves_no_run() {
    task::block_on(async {
        let world = services(1).await;
        let mut fleet = world.fleet(3).await;
        let ticket = ticket(fleet[0].callers, "label 2").await;

        fleet[0].kill();

        assert_unknown_everywhere(&fleet[1..], "label 2", ticket).await;
        assert_eq!(world.runs_of("label 2"), 0);
    });
}

/// Guards against a second run of a completed call that the caller sends again to other daemons. While
/// the home is alive, they return the first answer; after it died, they must answer `unknown`.
#[test]
fn a_home_killed_after_a_call_leaves_one_run() {
    task::block_on(async {
        let world = services(1).await;
        let mut fleet = world.fleet(3).await;
        let ticket = ticket(fleet[0].callers, "label 3").await;
        for daemon in &fleet {
            let answer = resend(daemon, "label 3", ticket).await;
            assert_eq!(answer.kind(), OutcomeKind::Completed);
            assert_eq!((answer.status, answer.text.as_str()), (200, "ran label 3"));
        }
        assert_eq!(world.runs_of("label 3"), 1);

        fleet[0].kill();

        assert_unknown_everywhere(&fleet[1..], "label 3", ticket).await;
        assert_eq!(world.runs_of("label 3"), 1);
    });
}

/// Guards against a second attempt, at another service or at the new incarnation, after a service dies
/// in the middle of a call and restarts: the call may have had its effect, so the answer must be
/// `unknown`, also when the call is sent again.
#[test]
fn a_service_killed_during_a_call_gets_no_second_one() {
    task::block_on(async {
        let world = services(ENDLESS_MS).await;
        let fleet = world.fleet(2).await;
        let ticket = ticket(fleet[0].callers, "label 4").await;
        let first = send_in_background(&fleet[0], "label 4", ticket, LONG_DEADLINE_MS);
        until_running(&world, "label 4").await;

        let runs_it = |service: &&PlainService| service.stats().running > 0;
        let service = world.services.iter().find(runs_it).unwrap();
        service
            .crash(CrashOptions {
                back_after_ms: Some(0),
            })
            .await;

        let answer = first.await.unwrap();
        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        until_current_incarnations(&world, &fleet).await;
        assert_unknown_everywhere(&fleet, "label 4", ticket).await;
        assert_eq!(world.runs_of("label 4"), 1);
    });
}

/// Guards against a second run of a call that completed but whose answer was lost with the connection:
/// the daemon can't distinguish that from a call that never started, and must answer `unknown`.
#[test]
fn a_lost_answer_is_no_reason_to_run_again() {
    task::block_on(async {
        let world = services(1).await;
        let fleet = world.fleet(2).await;
        for service in &world.services {
            service.set_faults(Faults {
                answer: AnswerFault::Lost,
                ..Faults::default()
            });
        }
        let ticket = ticket(fleet[0].callers, "label 5").await;

        let answer = resend(&fleet[0], "label 5", ticket).await;

        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        assert_unknown_everywhere(&fleet, "label 5", ticket).await;
        assert_eq!(world.runs_of("label 5"), 1);
    });
}

/// Guards against a dispatch after the deadline: a daemon is frozen with a call in flight, the deadline
/// passes, and the caller gets `unknown` from another daemon. Meanwhile the service refuses the call as
/// full, and another service is free. When the daemon resumes and reads the refusal, it must not try
/// the other service.
#[test]
fn a_frozen_home_sends_nothing_after_the_deadline() {
    task::block_on(async {
        let world = services(1).await;
        let fleet = world.fleet(2).await;
        let in_flight = freeze_with_a_call(&world, &fleet[0]).await;
        let ticket = in_flight.ticket;

        let request = call(fleet[1].callers, "label 6", Some(ticket), SHORT_DEADLINE_MS);
        let elsewhere = send_and_read(fleet[1].callers, request).await.unwrap();
        until_past(in_flight.sent + Duration::from_millis(SHORT_DEADLINE_MS)).await;
        resume_full(&world.services[in_flight.service]);
        world.services[1 - in_flight.service].set_faults(Faults::default());
        fleet[0].resume();

        let answer = in_flight.answer.await.unwrap();
        assert_eq!(elsewhere.kind(), OutcomeKind::Unknown, "{elsewhere:?}");
        assert_ne!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
        assert_eq!(answer.outcome.reason, Reason::DeadlineReached, "{answer:?}");
        until_idle(&fleet[0]).await;
        for daemon in &fleet {
            let again = resend(daemon, "label 6", ticket).await;
            assert_ne!(again.kind(), OutcomeKind::Completed, "{again:?}");
        }
        assert_eq!(world.runs_of("label 6"), 0);
    });
}

/// A call that a frozen daemon has sent or is about to send.
struct InFlightCall {
    ticket: Ticket,
    sent: Instant,
    service: usize,
    answer: task::JoinHandle<Option<Answer>>,
}

/// Freezes a daemon between its routing of a call and the answer. On a machine so slow that the
/// deadline passes first, tries again with another ticket.
async fn freeze_with_a_call(world: &World, daemon: &Process) -> InFlightCall {
    loop {
        set_all(world, &Faults::default());
        world.until_ready(daemon).await;
        let ticket = ticket(daemon.callers, "label 6").await;
        let frozen = Faults {
            frozen: true,
            ..Faults::default()
        };
        set_all(world, &frozen);
        let sent = Instant::now();
        let answer = send_in_background(daemon, "label 6", ticket, SHORT_DEADLINE_MS);
        let mut service = None;
        while service.is_none() && sent.elapsed() < Duration::from_millis(SHORT_DEADLINE_MS) {
            service = in_flight_at(daemon).await;
        }
        daemon.freeze();
        if let Some(service) =
            service.filter(|_| sent.elapsed() < Duration::from_millis(SHORT_DEADLINE_MS))
        {
            return InFlightCall {
                ticket,
                sent,
                service,
                answer,
            };
        }
        daemon.resume();
        world.services.iter().for_each(resume_full);
        answer.await;
        until_idle(daemon).await;
    }
}

async fn in_flight_at(daemon: &Process) -> Option<usize> {
    let status = status(daemon).await?;
    let target = status.targets.iter().find(|target| target.in_flight > 0)?;
    (0..SERVICES).find(|number| service_name(*number) == target.target.as_str())
}

/// Resumes a frozen service as full, so that it refuses calls that it hadn't started. It becomes full
/// before it resumes, otherwise it would start the call in between.
fn resume_full(service: &PlainService) {
    service.set_faults(Faults {
        frozen: true,
        ..full()
    });
    service.set_faults(full());
}

fn full() -> Faults {
    Faults {
        full: true,
        ..Faults::default()
    }
}

fn set_all(world: &World, faults: &Faults) {
    for service in &world.services {
        service.set_faults(faults.clone());
    }
}

async fn until_current_incarnations(world: &World, fleet: &[Process]) {
    for daemon in fleet {
        until("the daemon knows the new incarnations", async || {
            let Some(status) = status(daemon).await else {
                return false;
            };
            let known = |service: &PlainService| {
                let run = Some(service.incarnation());
                status
                    .targets
                    .iter()
                    .any(|target| target.incarnation == run)
            };
            world.services.iter().all(known)
        })
        .await;
    }
}
