//! The fake engine.

use {
    crate::support::{Ended, engine_options, generate, prompt},
    whinlatch_standins::{Engine, engine::answer_chunks},
    whinlatch_wire::ids::ModelName,
};

#[async_std::test]
async fn streams_the_whole_answer_and_gives_memory_back() {
    let engine = Engine::start(engine_options()).await.expect("a free port");
    let request = prompt(1, engine.incarnation(), 1_000);

    let ended = generate(engine.address(), &request).await;

    let Ended::Whole(chunks) = ended else {
        panic!("{ended:?}")
    };
    let texts: Vec<_> = chunks.iter().map(|chunk| chunk.text.clone()).collect();
    let expected = answer_chunks(
        &engine_options(),
        &ModelName::from("m"),
        &request.prompt,
        10,
    );
    assert_eq!(texts, expected);
    assert!(chunks.last().is_some_and(|last| last.end));
    let stats = engine.stats();
    assert_eq!((stats.running, stats.memory_used_tokens), (0, 0));
    assert_eq!(stats.runs_by_key["key-1"], 1);
    assert_eq!(stats.ended_by_key["key-1"], 1);
}
