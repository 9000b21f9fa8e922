//! The fake plain service.

use {
    crate::support::post,
    whinlatch_standins::{
        PlainService, ServiceOptions,
        service::{ServiceAnswerFault, ServiceFaults},
    },
    whinlatch_wire::{
        ids::{AccountName, AttemptId, Incarnation, ServiceName},
        target::{CALL_PATH, ServiceCall},
    },
};

fn label_call(attempt: u128, incarnation: Incarnation) -> ServiceCall {
    ServiceCall {
        attempt: AttemptId(attempt),
        owner: Incarnation(1),
        expect_incarnation: incarnation,
        deadline_ms: 60_000,
        service: ServiceName::from("labels"),
        account: AccountName::from("a"),
        body: "parcel 7".to_owned(),
    }
}

#[async_std::test]
async fn a_lost_answer_stands_in_the_ledger_and_a_doubled_run_too() {
    let service = PlainService::start(ServiceOptions::default())
        .await
        .expect("a free port");
    service.set_faults(ServiceFaults {
        answer: ServiceAnswerFault::Lost,
        ..ServiceFaults::default()
    });

    let lost = post(
        service.address(),
        CALL_PATH,
        &label_call(1, service.incarnation()),
    )
    .await;
    service.set_faults(ServiceFaults::default());
    let doubled = post(
        service.address(),
        CALL_PATH,
        &label_call(2, service.incarnation()),
    )
    .await;

    assert!(lost.is_none());
    assert!(doubled.is_some_and(|(_status, answer)| answer.contains("ran parcel 7")));
    assert_eq!(service.stats().runs_by_body["parcel 7"], 2);
}
