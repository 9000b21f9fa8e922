use {
    super::super::{
        client::{ask_daemon, ask_engine, prompt},
        errors::PathError,
        figures::{Added, Compared, Times},
        setup::{FAST_MODEL, FAST_PIECES, Setup},
    },
    whinlatch_wire::ids::Incarnation,
};

/// One in so many requests is asked before the measurement and not counted.
const WARM_UP: u32 = 10;

/// Times of one way.
#[derive(Debug, Default)]
struct Way {
    first_chunk: Times,
    whole: Times,
}

/// Asks the same prompts of the engine and of the daemon in turn, one at a time, so that whatever
/// else the machine does meets both alike.
pub async fn added(setup: &Setup, requests: u32) -> Result<Added, PathError> {
    let run = setup.fast_report().await?.incarnation;
    ask_in_turn(setup, run, requests / WARM_UP).await?;
    let (direct, daemon) = ask_in_turn(setup, run, requests).await?;
    Ok(Added {
        requests,
        first_chunk: Compared::new(&direct.first_chunk, &daemon.first_chunk),
        whole: Compared::new(&direct.whole, &daemon.whole),
    })
}

async fn ask_in_turn(
    setup: &Setup,
    run: Incarnation,
    requests: u32,
) -> Result<(Way, Way), PathError> {
    let (mut direct, mut daemon) = (Way::default(), Way::default());
    for number in 0..requests {
        let prompt = prompt(FAST_MODEL, number, FAST_PIECES);
        let timed = ask_engine(setup.fast_engine(), run, &prompt).await?;
        direct.first_chunk.add(timed.first_chunk);
        direct.whole.add(timed.whole);
        let timed = ask_daemon(setup.daemon(), &prompt).await?;
        daemon.first_chunk.add(timed.first_chunk);
        daemon.whole.add(timed.whole);
    }
    Ok((direct, daemon))
}
