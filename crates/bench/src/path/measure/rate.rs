use {
    super::super::{
        args::PathArgs,
        client::{prompt, request_daemon},
        errors::PathError,
        figures::{Durations, Throughput, cpu_used_ns},
        setup::{FAST_CHUNKS, FAST_MODEL, Setup},
    },
    async_std::task,
    futures::future::try_join_all,
    std::{net::SocketAddr, time::Instant},
};

/// Nanoseconds per second.
const NS_PER_S: f64 = 1e9;
/// Nanoseconds per microsecond.
const NS_PER_US: f64 = 1e3;

/// Measures throughput and CPU time of the daemon in a closed loop of `concurrency` requests.
pub async fn rate(setup: &Setup, args: &PathArgs) -> Result<Throughput, PathError> {
    let per_client = (2 * args.requests).div_ceil(args.concurrency);
    let requests = per_client * args.concurrency;
    let process = setup.daemon_usage();
    let before = process.cpu_ns()?;
    let started_at = Instant::now();
    let clients = (0..args.concurrency)
        .map(|client| task::spawn(run_client(setup.daemon(), client, per_client)));
    let durations = try_join_all(clients).await?;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let used = cpu_used_ns(&before, &process.cpu_ns()?);
    let total_ns = used.values().sum::<u64>() as f64;
    let mut whole = Durations::default();
    for times in &durations {
        whole.merge(times);
    }
    let us_per_request =
        |(name, ns): (String, u64)| (name, ns as f64 / NS_PER_US / f64::from(requests));
    Ok(Throughput {
        requests,
        concurrency: args.concurrency,
        requests_per_s: f64::from(requests) / elapsed_s,
        cpu_us_per_request: total_ns / NS_PER_US / f64::from(requests),
        requests_per_core_s: f64::from(requests) * NS_PER_S / total_ns,
        cpu_us_by_thread: used.into_iter().map(us_per_request).collect(),
        whole: whole.percentiles(),
    })
}

/// Sends requests one after another. Returns the times to the end of their answers.
async fn run_client(
    daemon: SocketAddr,
    client: u32,
    requests: u32,
) -> Result<Durations, PathError> {
    let mut times = Durations::default();
    for number in 0..requests {
        let prompt = prompt(FAST_MODEL, client * requests + number, FAST_CHUNKS);
        times.add(request_daemon(daemon, &prompt).await?.whole);
    }
    Ok(times)
}
