//! A daemon that was frozen and wakes up with an old view.

mod requests_fixture;

use {
    requests_fixture::{ENGINES, bench, calls, dispatches, finished, run_of},
    whinlatch_core::{Event, TargetCall},
    whinlatch_wire::{caller::OutcomeKind, ids::Incarnation, peer::PeerFrame},
};

const PEER: Incarnation = Incarnation(0xB);

/// Work goes to an engine that left while the daemon was frozen. After the wake the first thing
/// read is a caller's request and not a tick, so that the pause isn't noticed at all.
#[test]
fn nothing_is_dispatched_after_a_pause_before_targets_are_heard_from() {
    let mut bench = bench();
    bench.now += 30_000;

    let prompt = bench.prompt(1);
    let woken = bench.submit(prompt);
    let ticked = bench.pass_with(200, |_| Vec::new());
    bench.report_all();
    let refreshed = bench.pass(100);

    assert!(dispatches(&woken).is_empty() && dispatches(&ticked).is_empty());
    assert_eq!(dispatches(&refreshed).len(), 1);
}

#[test]
fn a_silent_target_delays_the_refresh_for_a_second_at_most_and_gets_nothing() {
    let mut bench = bench();
    bench.now += 30_000;
    let prompt = bench.prompt(1);
    bench.submit(prompt);

    let actions = bench.pass_with(1_100, |bench| bench.report("e2", run_of("e2")));

    assert_eq!(dispatches(&actions)[0].target.as_str(), "e2");
}

#[test]
fn after_a_pause_a_linked_peer_is_heard_from_first() {
    let mut bench = bench();
    bench.link(PEER);
    bench.now += 30_000;
    let prompt = bench.prompt(1);
    bench.submit(prompt);

    let unheard = bench.pass(500);
    bench.event(Event::PeerFrame {
        from: PEER,
        frame: Box::new(PeerFrame::default()),
    });
    let heard = bench.pass(100);

    assert!(dispatches(&unheard).is_empty());
    assert_eq!(dispatches(&heard).len(), 1);
}

#[test]
fn what_expired_in_a_pause_is_ended_before_anything_else() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let request = prompt.request;
    bench.submit(prompt);
    bench.now += 90_000;

    let actions = bench.report("e1", run_of("e1"));

    assert_eq!(finished(&actions)[0].request, request);
    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
}

#[test]
fn each_dispatch_goes_stale_within_a_second_and_never_after_the_deadline() {
    let mut bench = bench();
    for deadline_ms in [200, 60_000] {
        let mut prompt = bench.prompt(deadline_ms);
        prompt.deadline_ms = deadline_ms;
        let sent = dispatches(&bench.submit(prompt))[0].clone();
        let limit = bench.now + deadline_ms.min(1_000);
        assert!(sent.send_before.0 <= limit);
    }
}

#[test]
fn all_targets_are_asked_at_once_after_a_pause() {
    let mut bench = bench();
    bench.now += 30_000;

    let actions = bench.event(Event::Tick);

    let asked = calls(&actions);
    let reports = asked.iter().filter(|(_, call)| *call == TargetCall::Report);
    assert!(reports.count() >= ENGINES.len());
}
