use {
    crate::support::{
        PromptEnd, fast_engine, generate, get, post, post_json, prompt, served_model, spawn, start,
        stuck_engine, text, wait_until,
    },
    whinlatch_standins::{
        AnswerFault, CrashOptions, Engine, EngineOptions, Faults, engine::answer_word,
    },
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, ModelName, Revision},
        target::{
            CANCEL_PATH, CacheEvents, CancelRequest, EngineMode, EngineState, GroupMember,
            KV_EXPORT_PATH, KV_IMPORT_PATH, KvExport, KvHandle, KvImport, ORDERS_PATH, Order,
            OrderAnswer, OrderVerdict, RESERVE_PATH, RefusalReason, ReserveRequest,
        },
    },
};

fn reserve(reservation: u128, engine: &Engine, tokens: u64, hold_ms: u64) -> ReserveRequest {
    ReserveRequest {
        reservation: AttemptId(reservation),
        owner: Incarnation(1),
        expect_incarnation: engine.incarnation(),
        tokens,
        hold_ms,
    }
}

fn order(engine: &Engine, fence: u64, version: u32) -> Order {
    Order {
        fence: Revision(fence),
        expect_incarnation: engine.incarnation(),
        models: vec![served_model(version)],
        mode: EngineMode::Both,
    }
}

async fn send_order(engine: &Engine, order: Order) -> OrderVerdict {
    let answer: OrderAnswer = post_json(engine.address(), ORDERS_PATH, &order)
        .await
        .expect("an answer");
    answer.verdict
}

async fn loads_version(engine: &Engine, version: u32) -> bool {
    loop {
        let state: EngineState = get(engine.address(), "/v1/state").await.expect("a state");
        if !state.busy {
            return state.models == [served_model(version)];
        }
    }
}

#[async_std::test]
async fn streams_the_complete_answer_and_frees_its_memory() {
    let engine = start(fast_engine()).await;
    let request = prompt(1, engine.incarnation(), 1_000);

    let end = generate(engine.address(), &request).await;

    let PromptEnd::Complete(chunks) = end else {
        panic!("{end:?}")
    };
    let expected: String = (0..10)
        .map(|sequence| answer_word(&ModelName::from("m"), &request.prompt, sequence))
        .collect();
    assert_eq!(text(&chunks), expected);
    assert_eq!(chunks.iter().filter(|chunk| chunk.end).count(), 1);
    let stats = engine.stats();
    assert_eq!((stats.running, stats.memory_used_tokens), (0, 0));
    assert_eq!(
        (stats.runs_by_key["key-1"], stats.ended_by_key["key-1"]),
        (1, 1)
    );
}

#[async_std::test]
async fn a_resumed_answer_continues_an_aborted_one() {
    let (first, second) = (start(fast_engine()).await, start(fast_engine()).await);
    first.set_faults(Faults {
        answer: AnswerFault::BreakAfter(4),
        ..Faults::default()
    });
    let mut request = prompt(1, first.incarnation(), 1_000);
    let aborted = generate(first.address(), &request).await;
    request.expect_incarnation = second.incarnation();
    let PromptEnd::Complete(whole) = generate(second.address(), &request).await else {
        panic!("the second engine has no fault")
    };
    request.resume_after = Some(3);

    let resumed = generate(second.address(), &request).await;

    assert_eq!(aborted, PromptEnd::Broken);
    assert_eq!(resumed, PromptEnd::Complete(whole[4..].to_vec()));
}

#[async_std::test]
async fn a_cancel_ends_an_attempt_and_refuses_it_if_it_arrives_later() {
    let engine = start(stuck_engine()).await;
    let address = engine.address();
    let request = prompt(1, engine.incarnation(), 1_000);
    let running = spawn({
        let request = request.clone();
        async move { generate(address, &request).await }
    });
    wait_until(|| engine.stats().running == 1).await;
    let used_tokens = engine.stats().memory_used_tokens;

    post(
        address,
        CANCEL_PATH,
        &CancelRequest {
            attempt: request.attempt,
        },
    )
    .await;

    let (running, late) = (running.await, generate(address, &request).await);
    assert_eq!((used_tokens, engine.stats().memory_used_tokens), (1_010, 0));
    assert_eq!(running, PromptEnd::Broken);
    assert_eq!(late, PromptEnd::Refused(RefusalReason::Expired));
    assert_eq!(engine.stats().runs_by_attempt[&request.attempt], 1);
}

#[async_std::test]
async fn a_request_ends_when_its_caller_disconnects_or_its_deadline_passes() {
    let engine = start(stuck_engine()).await;
    let address = engine.address();
    let gone = spawn({
        let request = prompt(1, engine.incarnation(), 1_000);
        async move { generate(address, &request).await }
    });
    wait_until(|| engine.stats().running == 1).await;
    let mut short = prompt(2, engine.incarnation(), 1_000);
    short.deadline_ms = 1;

    gone.cancel().await;
    let expired = generate(address, &short).await;

    wait_until(|| engine.stats().callers_gone == 1).await;
    assert!(matches!(
        expired,
        PromptEnd::Broken | PromptEnd::Refused(RefusalReason::Expired)
    ));
    assert_eq!(
        (engine.stats().running, engine.stats().memory_used_tokens),
        (0, 0)
    );
    assert_eq!(engine.stats().expired, 1);
}

#[async_std::test]
async fn requests_run_by_priority_and_a_full_queue_refuses() {
    let engine = start(EngineOptions {
        slots: 1,
        queue: 2,
        ..stuck_engine()
    })
    .await;
    let address = engine.address();
    let start_prompt = |attempt: u128, priority: u8| {
        let mut request = prompt(attempt, engine.incarnation(), 100);
        request.priority = priority;
        spawn(async move { generate(address, &request).await })
    };
    let running = start_prompt(1, 5);
    wait_until(|| engine.stats().running == 1).await;
    let less_urgent = start_prompt(2, 9);
    wait_until(|| engine.stats().waiting == 1).await;
    let more_urgent = start_prompt(3, 0);
    wait_until(|| engine.stats().waiting == 2).await;

    let refused = start_prompt(4, 0).await;
    post(
        address,
        CANCEL_PATH,
        &CancelRequest {
            attempt: AttemptId(1),
        },
    )
    .await;

    wait_until(|| engine.stats().runs_by_key.len() == 2).await;
    assert_eq!(refused, PromptEnd::Refused(RefusalReason::Full));
    assert!(engine.stats().runs_by_key.contains_key("key-3"));
    drop((running, less_urgent, more_urgent));
}

#[async_std::test]
async fn a_prompt_over_the_memory_of_one_engine_needs_a_complete_group() {
    let options = EngineOptions {
        memory_tokens: 1_000,
        ..fast_engine()
    };
    let (leader, member) = (start(options.clone()).await, start(options).await);
    let mut request = prompt(1, leader.incarnation(), 1_500);
    let alone = generate(leader.address(), &request).await;
    request.reservation = Some(AttemptId(7));
    request.group = vec![GroupMember {
        address: member.address(),
        reservation: AttemptId(8),
    }];
    post(
        leader.address(),
        RESERVE_PATH,
        &reserve(7, &leader, 800, 60_000),
    )
    .await;
    let partial = generate(leader.address(), &request).await;
    post(
        member.address(),
        RESERVE_PATH,
        &reserve(8, &member, 800, 60_000),
    )
    .await;

    let whole = generate(leader.address(), &request).await;

    assert_eq!(alone, PromptEnd::Refused(RefusalReason::Invalid));
    assert_eq!(partial, PromptEnd::Refused(RefusalReason::Invalid));
    assert!(matches!(whole, PromptEnd::Complete(_)), "{whole:?}");
}

/// When an engine of a group dies, a part of the prompt is lost: the leading engine has to abort the
/// answer.
#[async_std::test]
async fn a_request_ends_when_an_engine_of_its_group_dies() {
    let options = EngineOptions {
        memory_tokens: 1_000,
        ..stuck_engine()
    };
    let (leader, member) = (start(options.clone()).await, start(options).await);
    post(
        leader.address(),
        RESERVE_PATH,
        &reserve(7, &leader, 800, 60_000),
    )
    .await;
    post(
        member.address(),
        RESERVE_PATH,
        &reserve(8, &member, 800, 60_000),
    )
    .await;
    let mut request = prompt(1, leader.incarnation(), 1_500);
    request.reservation = Some(AttemptId(7));
    request.group = vec![GroupMember {
        address: member.address(),
        reservation: AttemptId(8),
    }];
    let address = leader.address();
    let running = spawn(async move { generate(address, &request).await });
    wait_until(|| leader.stats().running == 1).await;

    member.crash(CrashOptions::default()).await;

    assert_eq!(running.await, PromptEnd::Broken);
}

#[async_std::test]
async fn a_reservation_expires_after_its_hold_time() {
    let engine = start(fast_engine()).await;

    post(
        engine.address(),
        RESERVE_PATH,
        &reserve(7, &engine, 800, 60_000),
    )
    .await;
    let reserved_tokens = engine.stats().memory_used_tokens;
    post(engine.address(), RESERVE_PATH, &reserve(7, &engine, 800, 1)).await;

    wait_until(|| engine.stats().memory_used_tokens == 0).await;
    assert_eq!(reserved_tokens, 800);
}

#[async_std::test]
async fn a_cached_prefix_is_prefilled_once_and_exported_to_another_engine() {
    let options = EngineOptions {
        event_gap_every: 2,
        ..fast_engine()
    };
    let (first, second) = (start(options.clone()).await, start(options).await);
    let mut request = prompt(1, first.incarnation(), 3 * 4_096);
    request.prefix_hashes = vec![11, 12, 13];
    generate(first.address(), &request).await;
    let export = KvExport {
        prefix_hash: 12,
        owner: Incarnation(1),
        hold_ms: 60_000,
    };
    let handle: KvHandle = post_json(first.address(), KV_EXPORT_PATH, &export)
        .await
        .expect("it is cached");
    let import = KvImport {
        from: first.address(),
        handle: handle.handle,
        prefix_hash: 12,
        tokens: handle.tokens,
        owner: Incarnation(1),
    };
    post(second.address(), KV_IMPORT_PATH, &import).await;
    request.expect_incarnation = second.incarnation();

    generate(second.address(), &request).await;

    assert_eq!(handle.tokens, 2 * 4_096);
    assert_eq!(second.stats().cached_tokens, 2 * 4_096);
    assert_eq!(second.stats().prefilled_tokens, 4_096);
    let events: CacheEvents = get(first.address(), "/v1/cache_events")
        .await
        .expect("events");
    let numbers: Vec<_> = events.events.iter().map(|event| event.sequence).collect();
    assert_eq!(numbers, [1, 3], "the second event was dropped");
}

/// A delayed order that arrives after a newer one would load a model that operators withdrew. An engine
/// that checks fencing numbers refuses it; one that doesn't loads the model.
#[async_std::test]
async fn an_old_order_is_refused_only_where_fencing_is_enforced() {
    let enforcing = start(fast_engine()).await;
    let not_enforcing = start(EngineOptions {
        enforces_fencing: false,
        ..fast_engine()
    })
    .await;
    let mut verdicts = Vec::new();

    for engine in [&enforcing, &not_enforcing] {
        verdicts.push(send_order(engine, order(engine, 9, 2)).await);
        assert!(loads_version(engine, 2).await);
        verdicts.push(send_order(engine, order(engine, 9, 2)).await);
        verdicts.push(send_order(engine, order(engine, 8, 1)).await);
    }

    let if_enforced = [
        OrderVerdict::Begun,
        OrderVerdict::Holds,
        OrderVerdict::OldFence,
    ];
    let if_not_enforced = [
        OrderVerdict::Begun,
        OrderVerdict::Holds,
        OrderVerdict::Begun,
    ];
    assert_eq!(verdicts, [if_enforced, if_not_enforced].concat());
    assert!(loads_version(&enforcing, 2).await);
    assert!(loads_version(&not_enforcing, 1).await);
}

/// An engine that a prompt crashed restarts as another incarnation with all memory free, and refuses
/// requests for the previous one.
#[async_std::test]
async fn a_prompt_with_the_crash_marker_crashes_the_engine() {
    let engine = start(fast_engine()).await;
    let request = prompt(1, engine.incarnation(), 1_000);
    engine.set_faults(Faults {
        crash_marker: Some("key-1".to_owned()),
        crash: CrashOptions {
            back_after_ms: Some(1),
        },
        ..Faults::default()
    });

    let crashed = generate(engine.address(), &request).await;

    wait_until(|| engine.incarnation() != request.expect_incarnation).await;
    let for_previous_incarnation = loop {
        let end = generate(engine.address(), &request).await;
        if end != PromptEnd::Broken {
            break end;
        }
    };
    assert_eq!(crashed, PromptEnd::Broken);
    assert_eq!(
        for_previous_incarnation,
        PromptEnd::Refused(RefusalReason::OtherIncarnation)
    );
    assert_eq!(engine.stats().memory_used_tokens, 0);
}

/// Simulates a device on the way, such as a NAT gateway, that has lost the state of open connections: they
/// no longer carry any bytes, while new ones work.
#[async_std::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let engine = start(fast_engine()).await;
    engine.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let address = engine.address();
    let request = prompt(1, engine.incarnation(), 1_000);
    let silent = spawn({
        let request = request.clone();
        async move { generate(address, &request).await }
    });
    wait_until(|| engine.open_connections() == 1).await;

    engine.silence_open();
    engine.set_faults(Faults::default());
    let fresh = generate(address, &prompt(2, engine.incarnation(), 1_000)).await;

    assert!(matches!(fresh, PromptEnd::Complete(_)), "{fresh:?}");
    assert!(futures::FutureExt::now_or_never(silent).is_none());
}
