use {
    crate::support::{post, post_json},
    whinlatch_standins::{AnswerFault, CrashOptions, Faults, PlainService, ServiceOptions},
    whinlatch_wire::{
        ids::{AccountName, AttemptId, Incarnation, ServiceName},
        target::{CALL_PATH, Refusal, RefusalReason, ServiceAnswer, ServiceCall},
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

/// A caller that resends a call after its answer was lost makes it run twice. Tests detect that by the
/// counter of the body.
#[async_std::test]
async fn the_statistics_show_a_call_that_ran_twice() {
    let service = PlainService::start(ServiceOptions::default())
        .await
        .expect("a free port");
    let incarnation = service.incarnation();
    service.set_faults(Faults {
        answer: AnswerFault::Lost,
        for_answers: Some(1),
        ..Faults::default()
    });

    let lost = post(service.address(), CALL_PATH, &label_call(1, incarnation)).await;
    let resent: Option<ServiceAnswer> =
        post_json(service.address(), CALL_PATH, &label_call(2, incarnation)).await;

    assert!(lost.is_none());
    assert_eq!(
        resent.map(|answer| answer.body),
        Some("ran parcel 7".to_owned())
    );
    assert_eq!(service.stats().runs_by_key["parcel 7"], 2);
}

#[async_std::test]
async fn refused_calls_and_calls_to_a_dead_service_do_not_run() {
    let service = PlainService::start(ServiceOptions::default())
        .await
        .expect("a free port");
    let incarnation = service.incarnation();
    service.set_faults(Faults {
        full: true,
        ..Faults::default()
    });

    let refused: Option<Refusal> =
        post_json(service.address(), CALL_PATH, &label_call(1, incarnation)).await;
    service.crash(CrashOptions::default()).await;
    let dead = post(service.address(), CALL_PATH, &label_call(2, incarnation)).await;

    assert_eq!(
        refused.map(|refusal| refusal.reason),
        Some(RefusalReason::Full)
    );
    assert_eq!(dead, None);
    assert!(service.stats().runs_by_key.is_empty());
    assert_eq!(service.stats().incarnations.len(), 2);
}
