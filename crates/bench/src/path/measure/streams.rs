use {
    super::super::{
        client::{OpenAnswer, open_at_daemon, prompt},
        errors::PathError,
        figures::{Streams, cpu_used_ns},
        process_usage::{Resources, descriptor_limit},
        setup::{SLOW_CHUNKS, SLOW_MODEL, Setup},
    },
    async_std::task,
    futures::{StreamExt, TryStreamExt, stream},
    std::time::{Duration, Instant},
};

/// Streams that are opened concurrently; the backlog of a listening socket.
const OPEN_CONCURRENCY: usize = 128;
/// File descriptors of a daemon per stream: one connection each to the caller and the target.
const DESCRIPTORS_PER_STREAM: u64 = 2;
/// File descriptors reserved for everything else.
const RESERVED_DESCRIPTORS: u64 = 400;
/// Time during which CPU usage with open streams is measured.
const MEASURED_TIME: Duration = Duration::from_secs(5);
/// Time for the daemon to free memory after the streams have ended.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Bytes per KiB.
const BYTES_PER_KIB: f64 = 1_024.0;
/// Percent per unit.
const PERCENT: f64 = 100.0;

/// Opens streams, measures the daemon while they are open, and closes them.
pub async fn streams(setup: &Setup, asked: u32, fresh: Resources) -> Result<Streams, PathError> {
    let process = setup.daemon_usage();
    let opened = max_streams(asked)?;
    let before = process.resources()?;
    let open = open_all(setup, opened).await?;
    let used_before = process.cpu_ns()?;
    let started_at = Instant::now();
    task::sleep(MEASURED_TIME).await;
    let used = cpu_used_ns(&used_before, &process.cpu_ns()?);
    let elapsed_ns = started_at.elapsed().as_nanos() as f64;
    let while_open = process.resources()?;
    drop(open);
    setup
        .wait_for_daemon("the streams didn't end", |status| {
            status.requests_in_flight == 0
        })
        .await?;
    task::sleep(SETTLING_TIME).await;
    let growth_kib = while_open.rss_kib.saturating_sub(before.rss_kib) as f64;
    Ok(Streams {
        asked,
        opened,
        fresh,
        before,
        open: while_open,
        after: process.resources()?,
        bytes_per_stream: growth_kib * BYTES_PER_KIB / f64::from(opened),
        cpu_percent: PERCENT * used.values().sum::<u64>() as f64 / elapsed_ns,
    })
}

/// Returns the number of streams up to `asked` that the limit of file descriptors allows.
fn max_streams(asked: u32) -> Result<u32, PathError> {
    let limit = descriptor_limit()?;
    let max_opened = limit.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_STREAM;
    let opened = u64::from(asked).min(max_opened).max(1) as u32;
    if opened < asked {
        eprintln!(
            "the limit of {limit} file descriptors allows {opened} streams instead of {asked}"
        );
    }
    Ok(opened)
}

async fn open_all(setup: &Setup, streams: u32) -> Result<Vec<OpenAnswer>, PathError> {
    let open = |number| async move {
        let prompt = prompt(SLOW_MODEL, number, SLOW_CHUNKS);
        open_at_daemon(setup.daemon(), &prompt).await
    };
    stream::iter(0..streams)
        .map(open)
        .buffer_unordered(OPEN_CONCURRENCY)
        .try_collect()
        .await
}
