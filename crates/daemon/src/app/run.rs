use {
    super::{
        args::{Args, Source, args},
        daemon::{Daemon, DaemonOptions},
        signals::{ProcessSignal, process_signals},
    },
    crate::{
        clock::{Clock, SystemClock},
        conf,
        entry::{self, EntryOptions},
        errors::DaemonError,
        logs,
    },
    async_channel::Receiver,
    async_std::task,
    futures::{future::select, pin_mut},
    std::{path::Path, process::ExitCode, sync::Arc},
};

/// Runs the program until it is stopped by a signal or by the platform.
pub fn run() -> ExitCode {
    match start(args().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinlatchd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: Args) -> Result<(), DaemonError> {
    match args.source {
        Source::File { .. } if !args.without.is_empty() => Err(DaemonError::WithoutNeedsPlatform),
        Source::File { .. } if args.metrics_port.is_some() => {
            Err(DaemonError::MetricsPortNeedsPlatform)
        }
        Source::File { settings } => start_from_file(&settings, args.check),
        Source::Platform => entry::run(&EntryOptions {
            check: args.check,
            disabled: args.without.into_iter().collect(),
            metrics_port: args.metrics_port,
        }),
    }
}

fn start_from_file(path: &Path, check: bool) -> Result<(), DaemonError> {
    let settings = conf::load(path)?;
    if check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    logs::set_up(&settings.log)?;
    let shutdown_ms = settings.shutdown_ms;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let options = DaemonOptions { settings, clock };
    task::block_on(serve(options, shutdown_ms))
}

async fn serve(options: DaemonOptions, shutdown_ms: u64) -> Result<(), DaemonError> {
    let signals = process_signals()?;
    let mut daemon = Daemon::start(options).await?;
    println!(
        "listening callers={} peers={}",
        daemon.caller_address(),
        daemon.peer_address()
    );
    wait_for_stop(&daemon, &signals).await;
    if !daemon.shut_down(shutdown_ms).await {
        log::warn!("app: the graceful shutdown timed out, answers being written are cut off");
    }
    Ok(())
}

/// Waits for a signal to stop, or until the daemon has stopped by itself: the platform's list of
/// instances may mark this one as leaving.
async fn wait_for_stop(daemon: &Daemon, signals: &Receiver<ProcessSignal>) {
    let signalled = stop_signal(signals);
    let stopped = daemon.stopped();
    pin_mut!(signalled, stopped);
    select(signalled, stopped).await;
}

/// Waits for the signal to stop, or until no more signals can arrive. A signal to reload has no
/// effect, because the settings file is read at the start only.
async fn stop_signal(signals: &Receiver<ProcessSignal>) {
    while let Ok(signal) = signals.recv().await {
        match signal {
            ProcessSignal::Stop => return,
            ProcessSignal::Reload => {
                log::info!(
                    "app: settings are read at the start only: restart the daemon to reload"
                );
            }
        }
    }
}
