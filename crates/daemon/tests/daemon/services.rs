//! Calls of services that aren't idempotent.

use {
    super::{
        client::{get, label_call, send_and_read},
        fixture::{World, fast_engine, until, world},
    },
    whinlatch_daemon::app::Daemon,
    whinlatch_standins::{AnswerFault, CrashOptions, Faults},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::Ticket,
        report::StatusReport,
    },
};

/// Factor by which a call of 1 ms takes long enough to be silenced while it runs.
const SLOW_CALL_FACTOR: f64 = 1_000.0;

async fn ticket(daemon: &Daemon, body: &str) -> Ticket {
    let refused = send_and_read(daemon, label_call(daemon, body, None)).await;
    assert_eq!(refused.status, 428);
    assert_eq!(refused.outcome.outcome, OutcomeKind::NotRun);
    assert_eq!(refused.outcome.reason, Reason::TicketNeeded);
    refused.outcome.ticket.unwrap()
}

fn runs(world: &World, body: &str) -> u32 {
    let stats = world.service.stats();
    stats.runs_by_key.get(body).copied().unwrap_or_default()
}

async fn linked(daemon: &Daemon) -> bool {
    let status: StatusReport = get(daemon, "/v1/status").await;
    status.peers.iter().any(|peer| peer.linked)
}

/// Starts two daemons with a link between them.
async fn two_daemons(world: &World) -> (Daemon, Daemon) {
    let one = world.daemon(world.settings("one")).await;
    let two = world.daemon(world.settings("two")).await;
    world.list(&[("one", &one), ("two", &two)]);
    until(async || linked(&one).await && linked(&two).await).await;
    (one, two)
}

#[async_std::test]
async fn a_call_with_a_ticket_runs_once_however_often_it_is_sent() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let ticket = ticket(&daemon, "parcel 1").await;

    let first = send_and_read(&daemon, label_call(&daemon, "parcel 1", Some(ticket))).await;
    let again = send_and_read(&daemon, label_call(&daemon, "parcel 1", Some(ticket))).await;

    for answer in [first, again] {
        assert_eq!(answer.status, 200);
        assert_eq!(answer.text, "ran parcel 1");
        assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    }
    assert_eq!(runs(&world, "parcel 1"), 1);
}

// Guards against a call that runs twice: the service runs it, its answer is lost, and the lost answer
// is taken as a call that wasn't run when the caller sends it again.
#[async_std::test]
async fn a_call_whose_answer_is_lost_is_not_run_again() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let ticket = ticket(&daemon, "parcel 2").await;
    world.service.set_faults(Faults {
        answer: AnswerFault::Lost,
        ..Faults::default()
    });

    let first = send_and_read(&daemon, label_call(&daemon, "parcel 2", Some(ticket))).await;
    world.service.set_faults(Faults::default());
    let again = send_and_read(&daemon, label_call(&daemon, "parcel 2", Some(ticket))).await;

    assert_eq!(first.outcome.outcome, OutcomeKind::Unknown);
    assert_eq!(again.outcome.outcome, OutcomeKind::Unknown);
    assert_eq!(runs(&world, "parcel 2"), 1);
}

// Guards against a caller that gets the answer to another call: the service answers with another
// call's id, and answers are matched by connection only.
#[async_std::test]
async fn a_crossed_answer_of_a_service_reaches_no_caller() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let ticket = ticket(&daemon, "parcel 3").await;
    world.service.set_faults(Faults {
        answer: AnswerFault::Crossed,
        ..Faults::default()
    });

    let answer = send_and_read(&daemon, label_call(&daemon, "parcel 3", Some(ticket))).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Unknown);
    assert_eq!(daemon.metrics().dropped_chunks(), 1);
}

// Guards against the outcome `unknown` for a call that no service received.
#[async_std::test]
async fn a_call_to_a_service_that_is_down_is_not_run() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let ticket = ticket(&daemon, "parcel 4").await;
    let never_back = CrashOptions {
        back_after_ms: None,
    };
    world.service.crash(never_back).await;

    let answer = send_and_read(&daemon, label_call(&daemon, "parcel 4", Some(ticket))).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::NotRun);
    assert_eq!(runs(&world, "parcel 4"), 0);
}

#[async_std::test]
async fn another_daemon_forwards_a_call_to_the_home_of_its_ticket() {
    let world = world(1, fast_engine()).await;
    let (one, two) = two_daemons(&world).await;
    let ticket = ticket(&one, "parcel 5").await;

    let through_two = send_and_read(&two, label_call(&two, "parcel 5", Some(ticket))).await;
    let through_one = send_and_read(&one, label_call(&one, "parcel 5", Some(ticket))).await;

    assert_eq!(through_two.text, "ran parcel 5");
    assert_eq!(through_one.text, "ran parcel 5");
    assert_eq!(runs(&world, "parcel 5"), 1);
}

// Guards against a call that runs twice: it ran, its daemon died, and another daemon runs it again.
#[async_std::test]
async fn a_call_whose_home_is_gone_is_never_run_elsewhere() {
    let world = world(1, fast_engine()).await;
    let (one, two) = two_daemons(&world).await;
    let ticket = ticket(&one, "parcel 6").await;
    drop(one);

    let answer = send_and_read(&two, label_call(&two, "parcel 6", Some(ticket))).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Unknown);
    assert_eq!(answer.outcome.reason, Reason::TicketLost);
    assert_eq!(runs(&world, "parcel 6"), 0);
}

// Guards against a call that is given up because its service is silent for some time, although it may not be sent
// to another and the service goes on.
#[async_std::test]
async fn a_call_whose_service_is_silent_for_some_time_gets_its_answer() {
    let world = world(0, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.target_silence_ms = 100;
    let daemon = world.daemon(settings).await;
    let ticket = ticket(&daemon, "label").await;
    world.service.set_faults(Faults {
        slow_factor: Some(SLOW_CALL_FACTOR),
        ..Faults::default()
    });
    let answered = send_and_read(&daemon, label_call(&daemon, "label", Some(ticket)));
    let silence = async {
        until(async || runs(&world, "label") == 1).await;
        world.service.set_faults(Faults {
            frozen: true,
            ..Faults::default()
        });
        until(async || is_unreachable(&daemon).await).await;
        world.service.set_faults(Faults::default());
    };

    let (answer, ()) = futures::join!(answered, silence);

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(answer.text, "ran label");
    assert_eq!(runs(&world, "label"), 1);
}

/// Returns whether the daemon sends the service nothing new because it answers no reads.
async fn is_unreachable(daemon: &Daemon) -> bool {
    let status: StatusReport = get(daemon, "/v1/status").await;
    status
        .targets
        .iter()
        .all(|target| target.incarnation.is_none())
}
