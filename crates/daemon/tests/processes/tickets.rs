//! Calls that may not be repeated run at most once, whichever process goes at whichever moment.

use {
    super::{
        client::{Answer, LONG_MS, ask, call, ticket},
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

/// Services that a call may go to.
const SERVICES: usize = 2;
/// How long a call takes that is to be interrupted, in ms.
const ENDLESS_MS: u64 = 600_000;
/// A deadline that the test waits for, in ms.
const SHORT_MS: u64 = 3_000;

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
    let request = call(daemon.callers, body, Some(ticket), LONG_MS);
    ask(daemon.callers, request).await.unwrap()
}

fn in_background(
    daemon: &Process,
    body: &str,
    ticket: Ticket,
    deadline_ms: u64,
) -> task::JoinHandle<Option<Answer>> {
    let request = call(daemon.callers, body, Some(ticket), deadline_ms);
    task::spawn(ask(daemon.callers, request))
}

async fn until_runs(world: &World, body: &str) {
    until("the call is at a service", async || world.runs_of(body) > 0).await;
}

/// Asks every daemon again with the ticket, until nothing is in flight: none may run it.
async fn assert_unknown_everywhere(daemons: &[Process], body: &str, ticket: Ticket) {
    for daemon in daemons {
        let answer = resend(daemon, body, ticket).await;
        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        until_idle(daemon).await;
    }
}

fn run<T>(story: impl Future<Output = T>) -> T {
    task::block_on(story)
}

/// A caller's daemon dies while its call is at the service. The caller sees the connection break
/// and sends the call again to another daemon. That one can't know whether the call ran: were it
/// to run it, a box would get two labels. It answers `unknown`.
#[test]
fn a_home_killed_during_a_call_leaves_one_run() {
    run(async {
        let world = services(ENDLESS_MS).await;
        let mut fleet = world.fleet(3).await;
        let ticket = ticket(fleet[0].callers, "label 1").await;
        let first = in_background(&fleet[0], "label 1", ticket, LONG_MS);
        until_runs(&world, "label 1").await;

        fleet[0].kill();

        assert!(first.await.is_none(), "an answer from a dead daemon");
        assert_unknown_everywhere(&fleet[1..], "label 1", ticket).await;
        assert_eq!(world.runs_of("label 1"), 1);
    });
}

/// A caller's daemon dies between giving out the ticket and getting the call. Nothing ran, but no
/// other daemon can know that, since the dead one might have sent it on. The answer is `unknown`,
/// and the call isn't run after it was given up.
#[test]
fn a_home_killed_before_a_call_leaves_no_run() {
    run(async {
        let world = services(1).await;
        let mut fleet = world.fleet(3).await;
        let ticket = ticket(fleet[0].callers, "label 2").await;

        fleet[0].kill();

        assert_unknown_everywhere(&fleet[1..], "label 2", ticket).await;
        assert_eq!(world.runs_of("label 2"), 0);
    });
}

/// A caller loses the answer to a call on its way and asks another daemon. While the home lives,
/// that gives the first answer. Then the home dies, and the others no longer know: `unknown`. In
/// neither case does the call run again.
#[test]
fn a_home_killed_after_a_call_leaves_one_run() {
    run(async {
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

/// A service dies in the middle of a call and comes back as a new run. Whether the label was
/// printed is not known; a second attempt, at the other service or at the new run, might print it
/// twice. The caller and all who ask again get `unknown`.
#[test]
fn a_service_killed_during_a_call_gets_no_second_one() {
    run(async {
        let world = services(ENDLESS_MS).await;
        let fleet = world.fleet(2).await;
        let ticket = ticket(fleet[0].callers, "label 4").await;
        let first = in_background(&fleet[0], "label 4", ticket, LONG_MS);
        until_runs(&world, "label 4").await;

        let runs_it = |service: &&PlainService| service.stats().running > 0;
        let service = world.services.iter().find(runs_it).unwrap();
        service
            .crash(CrashOptions {
                back_after_ms: Some(0),
            })
            .await;

        let answer = first.await.unwrap();
        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
        until_present_runs(&world, &fleet).await;
        assert_unknown_everywhere(&fleet, "label 4", ticket).await;
        assert_eq!(world.runs_of("label 4"), 1);
    });
}

/// A service runs a call to its end, and its answer is lost with the connection. The daemon sees
/// the same as if the call had never begun. It must not try again, and says `unknown`.
#[test]
fn a_lost_answer_is_no_reason_to_run_again() {
    run(async {
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

/// A daemon is frozen with a call on its way to a service. Its deadline passes, and the caller
/// hears `unknown` from another daemon. The service refuses the call meanwhile, so that nothing
/// ran, and another service is free. When the daemon wakes, it finds a refusal that says «try
/// elsewhere»; the deadline is over, so it must not.
#[test]
fn a_frozen_home_sends_nothing_after_the_deadline() {
    run(async {
        let world = services(1).await;
        let fleet = world.fleet(2).await;
        let on_its_way = freeze_with_a_call(&world, &fleet[0]).await;
        let ticket = on_its_way.ticket;

        let request = call(fleet[1].callers, "label 6", Some(ticket), SHORT_MS);
        let elsewhere = ask(fleet[1].callers, request).await.unwrap();
        until_past(on_its_way.sent + Duration::from_millis(SHORT_MS)).await;
        thaw_full(&world.services[on_its_way.service]);
        world.services[1 - on_its_way.service].set_faults(Faults::default());
        fleet[0].thaw();

        let answer = on_its_way.answer.await.unwrap();
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
struct OnItsWay {
    ticket: Ticket,
    sent: Instant,
    service: usize,
    answer: task::JoinHandle<Option<Answer>>,
}

/// Freezes a daemon between its decision where a call goes and the answer. Where the computer is
/// so slow that the deadline passes before, it begins anew with another ticket.
async fn freeze_with_a_call(world: &World, daemon: &Process) -> OnItsWay {
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
        let answer = in_background(daemon, "label 6", ticket, SHORT_MS);
        let mut service = None;
        while service.is_none() && sent.elapsed() < Duration::from_millis(SHORT_MS) {
            service = in_flight_at(daemon).await;
        }
        daemon.freeze();
        if let Some(service) = service.filter(|_| sent.elapsed() < Duration::from_millis(SHORT_MS))
        {
            return OnItsWay {
                ticket,
                sent,
                service,
                answer,
            };
        }
        daemon.thaw();
        world.services.iter().for_each(thaw_full);
        answer.await;
        until_idle(daemon).await;
    }
}

async fn in_flight_at(daemon: &Process) -> Option<usize> {
    let status = status(daemon).await?;
    let target = status.targets.iter().find(|target| target.in_flight > 0)?;
    (0..SERVICES).find(|number| service_name(*number) == target.target.as_str())
}

/// Lets a frozen service go on that refuses what it had not begun. It is full before it goes on,
/// else it would begin the call in between.
fn thaw_full(service: &PlainService) {
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

async fn until_present_runs(world: &World, fleet: &[Process]) {
    for daemon in fleet {
        until("the daemon knows the new runs", async || {
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
