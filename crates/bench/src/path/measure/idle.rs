use {
    super::super::{
        errors::PathError,
        figures::{Idle, cpu_used_ns},
        setup::Setup,
    },
    async_std::task,
    std::time::{Duration, Instant},
};

/// Number of peers of the measured daemon.
const PEERS: u32 = 3;
/// Time for the daemons to exchange their state before the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Length of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(15);
/// Percent per unit.
const PERCENT: f64 = 100.0;

/// Starts peers and measures the daemon's resources without any requests.
pub async fn idle(setup: &mut Setup) -> Result<Idle, PathError> {
    setup.add_peers(PEERS).await?;
    task::sleep(SETTLING_TIME).await;
    let process = setup.daemon_usage();
    let before = process.cpu_ns()?;
    let started_at = Instant::now();
    task::sleep(MEASURED_TIME).await;
    let used = cpu_used_ns(&before, &process.cpu_ns()?);
    let elapsed = started_at.elapsed();
    let percent = |ns: u64| PERCENT * ns as f64 / elapsed.as_nanos() as f64;
    Ok(Idle {
        peers: PEERS,
        measured_ms: elapsed.as_millis() as u64,
        cpu_percent: percent(used.values().sum()),
        cpu_percent_by_thread: used
            .into_iter()
            .map(|(name, ns)| (name, percent(ns)))
            .collect(),
        held: process.resources()?,
    })
}
