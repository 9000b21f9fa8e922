use {
    super::super::{
        args::PathArgs,
        client::{ask_daemon, prompt},
        errors::PathError,
        figures::{Rate, Times, used_ns},
        setup::{FAST_MODEL, FAST_PIECES, Setup},
    },
    async_std::task,
    futures::future::try_join_all,
    std::{net::SocketAddr, time::Instant},
};

/// Nanoseconds in a second.
const NS_PER_S: f64 = 1e9;
/// Nanoseconds in a microsecond.
const NS_PER_US: f64 = 1e3;

/// Asks the daemon as fast as it answers, with so many in flight, and counts its processor time.
pub async fn rate(setup: &Setup, args: &PathArgs) -> Result<Rate, PathError> {
    let each = (2 * args.requests).div_ceil(args.concurrency);
    let requests = each * args.concurrency;
    let process = setup.daemon_use();
    let before = process.cpu_ns()?;
    let begun = Instant::now();
    let asking = (0..args.concurrency).map(|asker| task::spawn(ask(setup.daemon(), asker, each)));
    let answered = try_join_all(asking).await?;
    let took_s = begun.elapsed().as_secs_f64();
    let used = used_ns(&before, &process.cpu_ns()?);
    let used_all_ns = used.values().sum::<u64>() as f64;
    let mut whole = Times::default();
    for times in &answered {
        whole.add_all(times);
    }
    let us_each = |(name, ns): (String, u64)| (name, ns as f64 / NS_PER_US / f64::from(requests));
    Ok(Rate {
        requests,
        concurrency: args.concurrency,
        requests_per_s: f64::from(requests) / took_s,
        cpu_us_per_request: used_all_ns / NS_PER_US / f64::from(requests),
        requests_per_core_s: f64::from(requests) * NS_PER_S / used_all_ns,
        cpu_us_by_thread: used.into_iter().map(us_each).collect(),
        whole: whole.percentiles(),
    })
}

async fn ask(daemon: SocketAddr, asker: u32, requests: u32) -> Result<Times, PathError> {
    let mut times = Times::default();
    for number in 0..requests {
        let prompt = prompt(FAST_MODEL, asker * requests + number, FAST_PIECES);
        times.add(ask_daemon(daemon, &prompt).await?.whole);
    }
    Ok(times)
}
