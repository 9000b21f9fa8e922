//! Targets that answer twice what an instance asks of them itself.

use {
    super::{
        fixture::target,
        paused_fleet::{Fleet, Published},
    },
    whinlatch_platform_standins::{Behaviour, CallerRequest, STREAM_PREFIX},
};

/// Guards against a caller that gets the answer to a report or an order, which has no id: the engine answers that twice,
/// and the second answer comes on the connection of the caller's prompt.
#[async_std::test]
async fn a_second_answer_to_a_report_does_not_reach_a_caller() {
    let engine = target("e-1", Behaviour::Stream(5));
    engine.answer_own_calls_twice();
    let fleet = Fleet::start(Published::Engine(&engine)).await;

    let answer = fleet.exchange(
        0,
        &CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000),
    );

    assert!(engine.report_count() > 0);
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

/// Guards against a report that is read from the answer to a caller's request, or from a refused order.
#[async_std::test]
async fn prompts_are_served_by_an_engine_that_answers_all_reports_twice() {
    let engine = target("e-1", Behaviour::Stream(5));
    engine.answer_own_calls_twice();
    let fleet = Fleet::start(Published::Engine(&engine)).await;

    for round in 0..20 {
        let prompt = CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000);
        let answer = fleet.exchange(round % 3, &prompt);
        fleet.advance(200).await;

        assert_eq!((answer.status, answer.is_whole), (200, true));
    }
}
