//! Records that operators publish, and pages that they read.

use {
    super::{
        client::{completion, get, request, send, send_and_read},
        fixture::{fast_engine, until, world},
    },
    http_types::Method,
    serde_json::json,
    whinlatch_wire::report::{DecisionReport, RecordState, RecordsReport},
};

#[async_std::test]
async fn an_invalid_record_is_reported_and_the_last_valid_one_stays_in_force() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;

    world.publish(
        "routes/model",
        &json!({ "schema": 2, "kind": "route", "spec": {} }),
    );

    until(async || {
        let report: RecordsReport = get(&daemon, "/v1/records").await;
        let route = report
            .records
            .iter()
            .find(|record| record.key.as_str() == "routes/model");
        route.is_some_and(|route| {
            matches!(&route.state, RecordState::Rejected { reason } if reason.contains("subject"))
                && route.in_force.is_some()
        })
    })
    .await;
}

#[async_std::test]
async fn the_decisions_about_a_request_can_be_read() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let answer = send_and_read(&daemon, completion(&daemon, "prompt")).await;

    let path = format!("/v1/decisions/{}", answer.outcome.request);
    let report: DecisionReport = get(&daemon, &path).await;

    assert!(report.steps.iter().any(|step| step.part == "routing"));
    assert_eq!(report.outcome, Some(answer.outcome));
}

#[async_std::test]
async fn metrics_count_requests_by_their_outcome() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    send_and_read(&daemon, completion(&daemon, "prompt")).await;

    let metrics = request(&daemon, Method::Get, "/metrics");
    let text = send(&daemon, metrics).await.body_string().await.unwrap();

    let line = "whinlatch_requests_total{outcome=\"completed\",reason=\"done\"} 1";
    assert!(text.contains(line), "{text}");
    assert!(text.contains("whinlatch_time_to_first_token_seconds_count 1"));
    assert!(text.contains("whinlatch_in_flight_requests"));
    assert!(text.contains("whinlatch_platform_reads_total{read=\"records\",result=\"ok\"}"));
}
