//! Prompts and their streamed answers.

use {
    super::{
        client::{ask, completion, read_first_chunk, read_whole, send},
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

fn memory_is_back(engine: &Engine) -> bool {
    let stats = engine.stats();
    stats.memory_used_tokens == 0 && stats.running == 0 && stats.waiting == 0
}

#[async_std::test]
async fn each_caller_gets_the_whole_answer_to_its_own_prompt() {
    let world = world(2, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let prompts: Vec<String> = (0..40).map(|number| format!("prompt {number}")).collect();

    let asked = prompts
        .iter()
        .map(|prompt| ask(&daemon, completion(&daemon, prompt)));
    let answers = join_all(asked).await;

    for (prompt, answer) in prompts.iter().zip(answers) {
        assert_eq!(answer.status, 200);
        assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
        assert_eq!(answer.text, expected(&fast_engine(), prompt));
    }
}

// A user sees words of someone else's answer in the middle of its own.
// The engine sends a chunk of an earlier attempt on a connection that now carries another's.
// Cause: whatever comes over a connection is taken for the answer to the last request.
#[async_std::test]
async fn a_crossed_chunk_reaches_no_caller() {
    let world = world(1, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    fault_once(&world.engines[0], AnswerFault::Crossed);

    let answer = ask(&daemon, completion(&daemon, "mine")).await;

    assert_eq!(answer.text, expected(&fast_engine(), "mine"));
    assert_eq!(daemon.metrics().dropped_chunks(), 1);
}

// A user sees an answer that stops after some words, or has some words twice.
// The engine's connection breaks after two chunks; the prompt goes to another engine.
// Cause: the second attempt begins anew, or the break is taken for the end.
#[async_std::test]
async fn an_answer_that_breaks_off_goes_on_where_it_stopped() {
    let world = world(2, fast_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    for engine in &world.engines {
        fault_once(engine, AnswerFault::BreakAfter(2));
    }

    let answer = ask(&daemon, completion(&daemon, "long story")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(answer.text, expected(&fast_engine(), "long story"));
}

// A user waits for ever in the middle of an answer.
// After two chunks the connection to the engine says nothing more, though the engine lives, has
// finished the prompt and answers new connections.
// Cause: something between the two ends has lost track of the connection.
#[async_std::test]
async fn an_answer_whose_connection_goes_silent_is_fetched_over_a_new_one() {
    let world = world(1, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.target_silence_ms = 100;
    let daemon = world.daemon(settings).await;
    fault_once(&world.engines[0], AnswerFault::SilentAfter(2));

    let answer = ask(&daemon, completion(&daemon, "quiet")).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
    assert_eq!(answer.text, expected(&fast_engine(), "quiet"));
}

// A user waits for ever for the first word.
// The engine accepts the prompt and stands still, on old connections and new ones.
// Cause: the engine's process is frozen; nothing breaks, so nothing reports a failure.
#[async_std::test]
async fn a_prompt_at_an_engine_that_stands_still_goes_to_another() {
    let world = world(2, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.target_silence_ms = 100;
    let daemon = world.daemon(settings).await;
    world.engines[0].set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });

    let asked = (0..8).map(|number| {
        let request = completion(&daemon, &format!("prompt {number}"));
        ask(&daemon, request)
    });
    let answers = join_all(asked).await;

    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.outcome.outcome, OutcomeKind::Completed);
        assert_eq!(
            answer.text,
            expected(&fast_engine(), &format!("prompt {number}"))
        );
    }
}

// Operators see an engine fill up with prompts for which no one waits.
// A caller reads the first chunk of a long answer and closes its connection.
// Cause: the daemon goes on reading the answer, or leaves the attempt at the engine.
#[async_std::test]
async fn the_work_of_a_caller_that_goes_away_is_cancelled() {
    let world = world(1, slow_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let mut response = send(&daemon, completion(&daemon, "long story")).await;
    let first = read_first_chunk(&mut response).await;
    assert!(!memory_is_back(&world.engines[0]), "{first:?}");

    drop(response);

    until(async || memory_is_back(&world.engines[0])).await;
}

// As above, but the caller goes away before the first chunk, while its prompt is read.
#[async_std::test]
async fn the_work_of_a_caller_that_goes_away_early_is_cancelled() {
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

    until(async || memory_is_back(&world.engines[0])).await;
}

// A user who gave a deadline hears nothing until long after it.
// The engine needs longer than that. Cause: no one watches the time of a request.
#[async_std::test]
async fn a_request_ends_by_its_deadline_with_a_truthful_failure() {
    let world = world(1, slow_engine()).await;
    let daemon = world.daemon(world.settings("one")).await;
    let mut request = completion(&daemon, "too long for its time");
    request.insert_header("whinlatch-deadline-ms", "300");

    let answer = read_whole(send(&daemon, request).await).await;

    assert_eq!(answer.outcome.outcome, OutcomeKind::Unknown);
    assert_eq!(answer.outcome.reason, Reason::DeadlineReached);
    until(async || memory_is_back(&world.engines[0])).await;
}
