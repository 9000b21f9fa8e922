use {
    crate::errors::DaemonError,
    async_channel::Receiver,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::thread,
};

/// Signals queued for the main task.
const SIGNAL_QUEUE_LEN: usize = 8;

/// The request that a signal of the process carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Finish requests in flight and stop (`SIGTERM`, `SIGINT`).
    Stop,
    /// Read the settings again (`SIGHUP`).
    Reload,
}

/// Installs the signal handlers and returns the channel on which signals arrive.
///
/// # Errors
/// [`DaemonError::Signals`] if the handlers can't be installed, [`DaemonError::Thread`] if the system
/// can't start a thread.
pub fn process_signals() -> Result<Receiver<ProcessSignal>, DaemonError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(DaemonError::Signals)?;
    let (signals_sender, received) = async_channel::bounded(SIGNAL_QUEUE_LEN);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                let request = match signal {
                    SIGHUP => ProcessSignal::Reload,
                    _ => ProcessSignal::Stop,
                };
                if signals_sender.send_blocking(request).is_err() {
                    return;
                }
            }
        })
        .map_err(DaemonError::Thread)?;
    Ok(received)
}
