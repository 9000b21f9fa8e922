use {
    crate::errors::DaemonError,
    async_channel::Receiver,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::thread,
};

/// Tells of each signal to stop.
///
/// # Errors
/// The system doesn't let the process take signals, or gives no thread.
pub fn stop_signals() -> Result<Receiver<()>, DaemonError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(DaemonError::Signals)?;
    let (told, received) = async_channel::bounded(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _signal in signals.forever() {
                if told.send_blocking(()).is_err() {
                    return;
                }
            }
        })
        .map_err(DaemonError::Thread)?;
    Ok(received)
}
