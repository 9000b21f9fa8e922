use {
    super::super::{
        client::{prompt, request_daemon, request_engine},
        errors::PathError,
        figures::{AddedLatency, Comparison, Durations},
        setup::{FAST_CHUNKS, FAST_MODEL, Setup},
    },
    whinlatch_wire::ids::Incarnation,
};

/// Divisor of the number of requests that gives the number of warm-up requests, which aren't counted.
const WARM_UP_DIVISOR: u32 = 10;

/// Latencies of one way.
#[derive(Debug, Default)]
struct WayLatencies {
    first_chunk: Durations,
    whole: Durations,
}

/// Measures the latency that the daemon adds. Sends each prompt to the engine and through the daemon in
/// turn, so that other load on the machine affects both equally.
pub async fn added(setup: &Setup, requests: u32) -> Result<AddedLatency, PathError> {
    let incarnation = setup.fast_report().await?.incarnation;
    request_in_turn(setup, incarnation, requests / WARM_UP_DIVISOR).await?;
    let (direct, daemon) = request_in_turn(setup, incarnation, requests).await?;
    Ok(AddedLatency {
        requests,
        first_chunk: Comparison::new(&direct.first_chunk, &daemon.first_chunk),
        whole: Comparison::new(&direct.whole, &daemon.whole),
    })
}

/// Sends prompts in turn. Returns the latencies at the engine and through the daemon.
async fn request_in_turn(
    setup: &Setup,
    incarnation: Incarnation,
    requests: u32,
) -> Result<(WayLatencies, WayLatencies), PathError> {
    let (mut direct, mut daemon) = (WayLatencies::default(), WayLatencies::default());
    for number in 0..requests {
        let prompt = prompt(FAST_MODEL, number, FAST_CHUNKS);
        let latencies = request_engine(setup.fast_engine(), incarnation, &prompt).await?;
        direct.first_chunk.add(latencies.first_chunk);
        direct.whole.add(latencies.whole);
        let latencies = request_daemon(setup.daemon(), &prompt).await?;
        daemon.first_chunk.add(latencies.first_chunk);
        daemon.whole.add(latencies.whole);
    }
    Ok((direct, daemon))
}
