//! A daemon whose process was paused by its host and resumes with an outdated view.

mod requests_fixture;

use {
    requests_fixture::{ENGINES, bench, calls, dispatches, finished, run_of},
    whinlatch_core::{Event, TargetCall},
    whinlatch_wire::{caller::OutcomeKind, ids::Incarnation, peer::PeerFrame},
};

const PEER: Incarnation = Incarnation(0xB);

/// Guards against work being sent to an engine that left during the pause. The first event after the
/// pause is a caller's request and not a tick, so the pause must be detected on any event.
#[test]
fn nothing_is_dispatched_after_a_pause_before_targets_have_reported() {
    let mut bench = bench();
    bench.now += 30_000;

    let prompt = bench.prompt(1);
    let submitted = bench.submit(prompt);
    let ticked = bench.advance_with(200, |_| Vec::new());
    bench.report_all();
    let refreshed = bench.advance(100);

    assert!(dispatches(&submitted).is_empty() && dispatches(&ticked).is_empty());
    assert_eq!(dispatches(&refreshed).len(), 1);
}

#[test]
fn a_silent_target_delays_the_refresh_for_a_second_at_most_and_gets_nothing() {
    let mut bench = bench();
    bench.now += 30_000;
    let prompt = bench.prompt(1);
    bench.submit(prompt);

    let actions = bench.advance_with(1_100, |bench| bench.report("e2", run_of("e2")));

    assert_eq!(dispatches(&actions)[0].target.as_str(), "e2");
}

#[test]
fn nothing_is_dispatched_after_a_pause_before_a_linked_peer_has_sent_a_frame() {
    let mut bench = bench();
    bench.link(PEER);
    bench.now += 30_000;
    let prompt = bench.prompt(1);
    bench.submit(prompt);

    let before_frame = bench.advance(500);
    bench.event(Event::PeerFrame {
        from: PEER,
        frame: Box::new(PeerFrame::default()),
    });
    let after_frame = bench.advance(100);

    assert!(dispatches(&before_frame).is_empty());
    assert_eq!(dispatches(&after_frame).len(), 1);
}

#[test]
fn requests_that_expired_in_a_pause_end_before_anything_else() {
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
fn each_dispatch_must_be_sent_within_a_second_and_before_the_deadline() {
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
fn all_targets_are_read_immediately_after_a_pause() {
    let mut bench = bench();
    bench.now += 30_000;

    let actions = bench.event(Event::Tick);

    let calls = calls(&actions);
    let reports = calls.iter().filter(|(_, call)| *call == TargetCall::Report);
    assert!(reports.count() >= ENGINES.len());
}
