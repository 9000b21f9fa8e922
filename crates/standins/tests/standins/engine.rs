use {
    crate::support::{
        Ended, ask, fast_engine, generate, get, in_background, post, prompt, served_model, start,
        stuck_engine, text, until,
    },
    whinlatch_standins::{AnswerFault, Die, Engine, EngineOptions, Faults, engine::answer_word},
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

async fn give(engine: &Engine, order: Order) -> OrderVerdict {
    let answer: OrderAnswer = ask(engine.address(), ORDERS_PATH, &order)
        .await
        .expect("an answer");
    answer.verdict
}

async fn is_loaded(engine: &Engine, version: u32) -> bool {
    loop {
        let state: EngineState = get(engine.address(), "/v1/state").await.expect("a state");
        if !state.busy {
            return state.models == [served_model(version)];
        }
    }
}

#[async_std::test]
async fn streams_the_whole_answer_and_gives_memory_back() {
    let engine = start(fast_engine()).await;
    let request = prompt(1, engine.incarnation(), 1_000);

    let ended = generate(engine.address(), &request).await;

    let Ended::Whole(chunks) = ended else {
        panic!("{ended:?}")
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
async fn a_resumed_answer_joins_one_that_broke_off() {
    let (first, second) = (start(fast_engine()).await, start(fast_engine()).await);
    first.set_faults(Faults {
        answer: AnswerFault::BreakAfter(4),
        ..Faults::default()
    });
    let mut request = prompt(1, first.incarnation(), 1_000);
    let broken = generate(first.address(), &request).await;
    request.expect_incarnation = second.incarnation();
    let Ended::Whole(whole) = generate(second.address(), &request).await else {
        panic!("the second engine has no fault")
    };
    request.resume_after = Some(3);

    let resumed = generate(second.address(), &request).await;

    assert_eq!(broken, Ended::Broken);
    assert_eq!(resumed, Ended::Whole(whole[4..].to_vec()));
}

#[async_std::test]
async fn a_cancel_ends_an_attempt_and_one_that_is_still_to_come() {
    let engine = start(stuck_engine()).await;
    let address = engine.address();
    let request = prompt(1, engine.incarnation(), 1_000);
    let running = in_background({
        let request = request.clone();
        async move { generate(address, &request).await }
    });
    until(|| engine.stats().running == 1).await;
    let held_tokens = engine.stats().memory_used_tokens;

    post(
        address,
        CANCEL_PATH,
        &CancelRequest {
            attempt: request.attempt,
        },
    )
    .await;

    let (running, late) = (running.await, generate(address, &request).await);
    assert_eq!((held_tokens, engine.stats().memory_used_tokens), (1_010, 0));
    assert_eq!(running, Ended::Broken);
    assert_eq!(late, Ended::Refused(RefusalReason::Expired));
    assert_eq!(engine.stats().runs_by_attempt[&request.attempt], 1);
}

#[async_std::test]
async fn work_ends_when_its_caller_goes_away_or_its_time_is_over() {
    let engine = start(stuck_engine()).await;
    let address = engine.address();
    let gone = in_background({
        let request = prompt(1, engine.incarnation(), 1_000);
        async move { generate(address, &request).await }
    });
    until(|| engine.stats().running == 1).await;
    let mut short = prompt(2, engine.incarnation(), 1_000);
    short.deadline_ms = 1;

    gone.cancel().await;
    let expired = generate(address, &short).await;

    until(|| engine.stats().callers_gone == 1).await;
    assert!(matches!(
        expired,
        Ended::Broken | Ended::Refused(RefusalReason::Expired)
    ));
    assert_eq!(
        (engine.stats().running, engine.stats().memory_used_tokens),
        (0, 0)
    );
    assert_eq!(engine.stats().expired, 1);
}

#[async_std::test]
async fn the_most_urgent_runs_first_and_a_full_queue_refuses() {
    let engine = start(EngineOptions {
        slots: 1,
        queue: 2,
        ..stuck_engine()
    })
    .await;
    let address = engine.address();
    let begin = |attempt: u128, priority: u8| {
        let mut request = prompt(attempt, engine.incarnation(), 100);
        request.priority = priority;
        in_background(async move { generate(address, &request).await })
    };
    let running = begin(1, 5);
    until(|| engine.stats().running == 1).await;
    let less = begin(2, 9);
    until(|| engine.stats().waiting == 1).await;
    let more = begin(3, 0);
    until(|| engine.stats().waiting == 2).await;

    let refused = begin(4, 0).await;
    post(
        address,
        CANCEL_PATH,
        &CancelRequest {
            attempt: AttemptId(1),
        },
    )
    .await;

    until(|| engine.stats().runs_by_key.len() == 2).await;
    assert_eq!(refused, Ended::Refused(RefusalReason::Full));
    assert!(engine.stats().runs_by_key.contains_key("key-3"));
    drop((running, less, more));
}

#[async_std::test]
async fn a_prompt_over_one_memory_needs_a_whole_group() {
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

    assert_eq!(alone, Ended::Refused(RefusalReason::Invalid));
    assert_eq!(partial, Ended::Refused(RefusalReason::Invalid));
    assert!(matches!(whole, Ended::Whole(_)), "{whole:?}");
}

/// A caller sees its long answer break off, and the group's other engines free again: the engine
/// that led the group lost one of its members and with it a part of the prompt.
#[async_std::test]
async fn a_group_ends_with_its_member() {
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
    let running = in_background(async move { generate(address, &request).await });
    until(|| leader.stats().running == 1).await;

    member.die(Die::default()).await;

    assert_eq!(running.await, Ended::Broken);
}

#[async_std::test]
async fn a_reservation_ends_with_its_hold() {
    let engine = start(fast_engine()).await;

    post(
        engine.address(),
        RESERVE_PATH,
        &reserve(7, &engine, 800, 60_000),
    )
    .await;
    let held = engine.stats().memory_used_tokens;
    post(engine.address(), RESERVE_PATH, &reserve(7, &engine, 800, 1)).await;

    until(|| engine.stats().memory_used_tokens == 0).await;
    assert_eq!(held, 800);
}

#[async_std::test]
async fn a_cached_prefix_is_read_once_and_moves_to_another_engine() {
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
    let handle: KvHandle = ask(first.address(), KV_EXPORT_PATH, &export)
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
    assert_eq!(numbers, [1, 3], "the second was lost");
}

/// A model that operators took back serves again: an order that was long under way arrives after
/// a newer one, at an engine that checks fencing numbers and at one that doesn't.
#[async_std::test]
async fn an_old_order_is_refused_only_where_fencing_is_enforced() {
    let checks = start(fast_engine()).await;
    let ignores = start(EngineOptions {
        enforces_fencing: false,
        ..fast_engine()
    })
    .await;
    let mut verdicts = Vec::new();

    for engine in [&checks, &ignores] {
        verdicts.push(give(engine, order(engine, 9, 2)).await);
        assert!(is_loaded(engine, 2).await);
        verdicts.push(give(engine, order(engine, 9, 2)).await);
        verdicts.push(give(engine, order(engine, 8, 1)).await);
    }

    let refuses = [
        OrderVerdict::Begun,
        OrderVerdict::Holds,
        OrderVerdict::OldFence,
    ];
    let obeys = [
        OrderVerdict::Begun,
        OrderVerdict::Holds,
        OrderVerdict::Begun,
    ];
    assert_eq!(verdicts, [refuses, obeys].concat());
    assert!(is_loaded(&checks, 2).await);
    assert!(is_loaded(&ignores, 1).await);
}

/// A caller sends a prompt again that brings down each engine that runs it; the engine comes back
/// as another incarnation with all memory free, and refuses what was meant for the former.
#[async_std::test]
async fn a_prompt_with_the_marker_brings_the_engine_down() {
    let engine = start(fast_engine()).await;
    let request = prompt(1, engine.incarnation(), 1_000);
    engine.set_faults(Faults {
        crash_marker: Some("key-1".to_owned()),
        crash: Die {
            back_after_ms: Some(1),
        },
        ..Faults::default()
    });

    let crashed = generate(engine.address(), &request).await;

    until(|| engine.incarnation() != request.expect_incarnation).await;
    let meant_for_former = loop {
        let ended = generate(engine.address(), &request).await;
        if ended != Ended::Broken {
            break ended;
        }
    };
    assert_eq!(crashed, Ended::Broken);
    assert_eq!(
        meant_for_former,
        Ended::Refused(RefusalReason::OtherIncarnation)
    );
    assert_eq!(engine.stats().memory_used_tokens, 0);
}

/// An open connection says nothing any more while new ones work: something between the two ends
/// has lost track of it.
#[async_std::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let engine = start(fast_engine()).await;
    engine.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    let address = engine.address();
    let request = prompt(1, engine.incarnation(), 1_000);
    let silent = in_background({
        let request = request.clone();
        async move { generate(address, &request).await }
    });
    until(|| engine.open_connections() == 1).await;

    engine.silence_open();
    engine.set_faults(Faults::default());
    let fresh = generate(address, &prompt(2, engine.incarnation(), 1_000)).await;

    assert!(matches!(fresh, Ended::Whole(_)), "{fresh:?}");
    assert!(futures::FutureExt::now_or_never(silent).is_none());
}
