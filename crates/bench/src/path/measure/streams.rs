use {
    super::super::{
        client::{Begun, begin_at_daemon, prompt},
        errors::PathError,
        figures::{Streams, used_ns},
        process_use::{Held, descriptor_limit},
        setup::{SLOW_MODEL, SLOW_PIECES, Setup},
    },
    async_std::task,
    futures::{StreamExt, TryStreamExt, stream},
    std::time::{Duration, Instant},
};

/// Streams that are being opened at once: as many as a listener lets wait.
const OPENING: usize = 128;
/// Descriptors that a daemon has open for a stream: the caller's and the target's connection.
const DESCRIPTORS_PER_STREAM: u64 = 2;
/// Descriptors kept for all else.
const OTHER_DESCRIPTORS: u64 = 400;
/// Time for which open streams are watched.
const WATCHED: Duration = Duration::from_secs(5);
/// Time for memory to be given back after the streams have ended.
const SETTLED: Duration = Duration::from_secs(2);
/// Bytes of a KiB.
const KIB: f64 = 1_024.0;
/// Hundredths of the whole.
const PERCENT: f64 = 100.0;

/// Opens streams, holds them for a while and lets them go.
pub async fn streams(setup: &Setup, asked: u32, fresh: Held) -> Result<Streams, PathError> {
    let process = setup.daemon_use();
    let opened = affordable(asked)?;
    let before = process.held()?;
    let open = open_all(setup, opened).await?;
    let used_before = process.cpu_ns()?;
    let begun = Instant::now();
    task::sleep(WATCHED).await;
    let used = used_ns(&used_before, &process.cpu_ns()?);
    let watched_ns = begun.elapsed().as_nanos() as f64;
    let held = process.held()?;
    drop(open);
    setup
        .wait_for_daemon("the streams didn't end", |status| {
            status.requests_in_flight == 0
        })
        .await?;
    task::sleep(SETTLED).await;
    let grown_kib = held.rss_kib.saturating_sub(before.rss_kib) as f64;
    Ok(Streams {
        asked,
        opened,
        fresh,
        before,
        open: held,
        after: process.held()?,
        bytes_per_stream: grown_kib * KIB / f64::from(opened),
        cpu_percent: PERCENT * used.values().sum::<u64>() as f64 / watched_ns,
    })
}

/// The streams that the descriptors suffice for.
fn affordable(asked: u32) -> Result<u32, PathError> {
    let limit = descriptor_limit()?;
    let most = limit.saturating_sub(OTHER_DESCRIPTORS) / DESCRIPTORS_PER_STREAM;
    let opened = u64::from(asked).min(most).max(1) as u32;
    if opened < asked {
        eprintln!("{limit} descriptors suffice for {opened} streams, not for {asked}");
    }
    Ok(opened)
}

async fn open_all(setup: &Setup, streams: u32) -> Result<Vec<Begun>, PathError> {
    let open = |number| async move {
        let prompt = prompt(SLOW_MODEL, number, SLOW_PIECES);
        begin_at_daemon(setup.daemon(), &prompt).await
    };
    stream::iter(0..streams)
        .map(open)
        .buffer_unordered(OPENING)
        .try_collect()
        .await
}
