//! Prompts and their streamed answers.

use {
    super::{
        client::{completion, read_answer, read_first_chunk, send, send_and_read},
        fixture::{MODEL, fast_engine, slow_engine, until, world},
    },
    futures::future::join_all,
    whinlatch_standins::{AnswerFault, Engine, EngineOptions, Faults, engine::answer_word},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::ModelName,
    },
};

fn expected(options: &EngineOptions, prompt: &str) -> String {
    let model = ModelName::new(MODEL);
    let words = (0..options.answer_tokens).map(|n| answer_word(&model, prompt, n.into()));
    words.collect()
}

fn fault_once(engine: &Engine, answer: AnswerFault) {
    engine.set_faults(Faults {
        answer,
        for_answers: Some(1),
        ..Faults::default()
    });
}

fn memory_is_free(engine: &Engine) -> bool {
    let stats = engine.stats();
    stats.memory_used_tokens == 0 && stats.running == 0 && stats.waiting == 0
}

#[async_std::test]
async fn each_caller_gets_the_complete_answer_to_its_own_prompt() {
    let world = world(2, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let prompts: Vec<String> = (0..40).map(|number| format!("prompt {number}")).collect();

    let requests = prompts
        .iter()
        .map(|prompt| send_and_read(&daemon, completion(&daemon, prompt)));
    let answers = join_all(requests).await;

    for (prompt, answer) in prompts.iter().zip(answers) {
        assert_eq!(answer.status, 200);
        assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
        assert_eq!(answer.text, expected(&fast_engine(), prompt));
    }
}

// Guards against words of another caller's answer in the middle of an answer: the engine sends a chunk
// of an earlier attempt over a connection that now carries another one, and the daemon matches chunks by
// connection only.
#[async_std::test]
async fn a_crossed_chunk_reaches_no_caller() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    fault_once(&world.engines[0], AnswerFault::Crossed);

    let answer = send_and_read(&daemon, completion(&daemon, "mine")).await;

    assert_eq!(answer.text, expected(&fast_engine(), "mine"));
    assert_eq!(daemon.metrics().dropped_chunks(), 1);
}

// Guards against an answer that is truncated or has words twice: the engine's connection breaks after
// two chunks, and the break is taken as the end, or the next attempt starts from the beginning.
#[async_std::test]
async fn an_interrupted_answer_resumes_where_it_stopped() {
    let world = world(2, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    for engine in &world.engines {
        fault_once(engine, AnswerFault::BreakAfter(2));
    }

    let answer = send_and_read(&daemon, completion(&daemon, "long story")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(answer.text, expected(&fast_engine(), "long story"));
}

// Guards against a caller that waits forever in the middle of an answer: after two chunks the
// connection to the engine is silent, because a device in between has dropped it, while the engine
// has finished the prompt and answers new connections.
#[async_std::test]
async fn an_answer_whose_connection_goes_silent_is_fetched_over_a_new_one() {
    let world = world(1, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.target_silence_ms = 100;
    let daemon = world.daemon(settings).await;
    fault_once(&world.engines[0], AnswerFault::SilentAfter(2));

    let answer = send_and_read(&daemon, completion(&daemon, "quiet")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(answer.text, expected(&fast_engine(), "quiet"));
}

// Guards against a caller that waits forever for the first word: the engine accepts the prompt and its
// process hangs, on old connections and new ones, so that no connection reports an error.
#[async_std::test]
async fn a_prompt_at_an_engine_that_hangs_is_sent_to_another() {
    let world = world(2, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.target_silence_ms = 100;
    let daemon = world.daemon(settings).await;
    world.engines[0].set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });

    let requests = (0..8).map(|number| {
        let request = completion(&daemon, &format!("prompt {number}"));
        send_and_read(&daemon, request)
    });
    let answers = join_all(requests).await;

    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
        assert_eq!(
            answer.text,
            expected(&fast_engine(), &format!("prompt {number}"))
        );
    }
}

// Guards against an engine that fills up with prompts whose callers have disconnected: after the first
// chunk of a long answer the caller closes its connection, and the daemon doesn't cancel the attempt.
#[async_std::test]
async fn the_prompt_of_a_caller_that_disconnects_is_cancelled() {
    let world = world(1, slow_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let mut response = send(&daemon, completion(&daemon, "long story")).await;
    let first = read_first_chunk(&mut response).await;
    assert!(!memory_is_free(&world.engines[0]), "{first:?}");

    drop(response);

    until(async || memory_is_free(&world.engines[0])).await;
}

// As above, but the caller disconnects before the first chunk, during the prefill.
#[async_std::test]
async fn the_prompt_of_a_caller_that_disconnects_during_prefill_is_cancelled() {
    let engine = EngineOptions {
        prefill_tokens_per_s: 10.0,
        ..slow_engine()
    };
    let world = world(1, engine).await;
    let daemon = world.daemon(world.settings("one")).await;
    let mut stream = async_std::net::TcpStream::connect(daemon.caller_address())
        .await
        .unwrap();
    let mut encoder =
        async_h1::client::Encoder::new(completion(&daemon, &"long prompt ".repeat(1_000)));
    async_std::io::copy(&mut encoder, &mut stream)
        .await
        .unwrap();
    until(async || world.engines[0].stats().running == 1).await;

    drop(stream);

    until(async || memory_is_free(&world.engines[0])).await;
}

// Guards against a request that gets its answer long after its deadline because the engine needs
// longer and nothing enforces the deadline.
#[async_std::test]
async fn a_request_ends_by_its_deadline_with_an_unknown_outcome() {
    let world = world(1, slow_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let mut request = completion(&daemon, "too long for its time");
    request.insert_header("whinlatch-deadline-ms", "300");

    let answer = read_answer(send(&daemon, request).await).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Unknown);
    assert_eq!(answer.outcome.reason, Reason::DeadlineReached);
    until(async || memory_is_free(&world.engines[0])).await;
}
