use {
    super::{
        args::{Args, args},
        daemon::{Daemon, DaemonOptions},
        signals::stop_signals,
    },
    crate::{
        clock::{Clock, SystemClock, timeout},
        conf,
        errors::DaemonError,
        logs,
    },
    async_channel::Receiver,
    async_std::task,
    futures::{future::select, pin_mut},
    std::{process::ExitCode, sync::Arc},
};

/// Runs the program until it is told to stop.
pub fn run() -> ExitCode {
    match start(&args().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinlatchd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> Result<(), DaemonError> {
    let settings = conf::load(&args.settings)?;
    if args.check {
        println!("{}: the settings are good", args.settings.display());
        return Ok(());
    }
    logs::set_up(&settings.log)?;
    let shutdown_ms = settings.shutdown_ms;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let options = DaemonOptions {
        settings,
        clock: Arc::clone(&clock),
    };
    task::block_on(serve(options, clock, shutdown_ms))
}

async fn serve(
    options: DaemonOptions,
    clock: Arc<dyn Clock>,
    shutdown_ms: u64,
) -> Result<(), DaemonError> {
    let signals = stop_signals()?;
    let mut daemon = Daemon::start(options).await?;
    println!(
        "listening callers={} peers={}",
        daemon.caller_address(),
        daemon.peer_address()
    );
    wait_for_stop(&daemon, &signals).await;
    daemon.stop().await;
    let ended = timeout(clock.as_ref(), shutdown_ms, daemon.wait_until_stopped()).await;
    if ended.is_none() {
        log::warn!("app: the time for a graceful shutdown is over, requests in flight are cut off");
    }
    Ok(())
}

/// The platform's list may say that this instance is leaving; that stops the daemon without a
/// signal.
async fn wait_for_stop(daemon: &Daemon, signals: &Receiver<()>) {
    let signalled = signals.recv();
    let stopped = daemon.stopped();
    pin_mut!(signalled, stopped);
    select(signalled, stopped).await;
}
