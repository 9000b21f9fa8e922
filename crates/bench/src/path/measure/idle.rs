use {
    super::super::{
        errors::PathError,
        figures::{Idle, used_ns},
        setup::Setup,
    },
    async_std::task,
    std::time::{Duration, Instant},
};

/// Peers of the measured daemon.
const PEERS: u32 = 3;
/// Time for the daemons to tell each other what they know.
const SETTLED: Duration = Duration::from_secs(3);
/// Time measured.
const WATCHED: Duration = Duration::from_secs(15);
/// Hundredths of the whole.
const PERCENT: f64 = 100.0;

/// Starts peers and measures what the daemon uses while nobody asks it anything.
pub async fn idle(setup: &mut Setup) -> Result<Idle, PathError> {
    setup.add_peers(PEERS).await?;
    task::sleep(SETTLED).await;
    let process = setup.daemon_use();
    let before = process.cpu_ns()?;
    let begun = Instant::now();
    task::sleep(WATCHED).await;
    let used = used_ns(&before, &process.cpu_ns()?);
    let watched = begun.elapsed();
    let percent = |ns: u64| PERCENT * ns as f64 / watched.as_nanos() as f64;
    Ok(Idle {
        peers: PEERS,
        measured_ms: watched.as_millis() as u64,
        cpu_percent: percent(used.values().sum()),
        cpu_percent_by_thread: used
            .into_iter()
            .map(|(name, ns)| (name, percent(ns)))
            .collect(),
        held: process.held()?,
    })
}
