//! Duration of one choice of engines, by the number of engines.
//!
//! `cargo bench -p whinlatch-serving`

#![expect(
    missing_docs,
    reason = "criterion's macro makes a function without them"
)]

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    fixture::{GROUP, START, instance, place, prompt_request},
    std::hint::black_box,
    whinlatch_serving::Serving,
};

#[path = "../tests/serving/fixture.rs"]
#[expect(
    dead_code,
    reason = "the fixture is shared with the tests, which use all of it"
)]
mod fixture;

/// Engines of today's fleets, of the grown sites, and of the maximum size that the design allows for.
const ENGINES: [usize; 3] = [21, 69, 600];
/// Short streams in flight per engine.
const SHORT_PER_ENGINE: usize = 6;

/// An instance of a fleet whose engines all write short streams.
fn busy_instance(engines: usize) -> Serving {
    let mut serving = instance(1, engines);
    for _ in 0..engines * SHORT_PER_ENGINE {
        if let Ok(placed) = place(&mut serving, START, 5_000) {
            serving.record_first_event(START, placed.job);
        }
    }
    serving
}

fn bench_choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for engines in ENGINES {
        for (name, tokens) in [("short", 5_000), ("long", 180_000)] {
            let id = BenchmarkId::new(name, engines);
            let request = prompt_request(tokens);
            let mut serving = busy_instance(engines);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    let job = serving
                        .admit_prompt(START + 100, &request)
                        .expect("no poison");
                    let placed = serving.choose_engines(START + 100, job, GROUP, &request);
                    serving.record_prompt_ended(job);
                    black_box(placed)
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_choice);
criterion_main!(benches);
