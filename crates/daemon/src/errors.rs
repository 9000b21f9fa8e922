//! Why a daemon doesn't start.

use {
    std::{io, net::SocketAddr, path::PathBuf},
    thiserror::Error,
    whinlatch_platform::SettingsFault,
    whinlatch_wire::conf::ConfFault,
};

/// Why a daemon doesn't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// Parts of the decisions are to be switched off that don't decide here.
    #[error("--without is for the users' platform: leave it out, or give --platform")]
    Without,
    /// A port is given for counters that aren't served here.
    #[error("--metrics-port is for the users' platform: leave it out, or give --platform")]
    MetricsPort,
    /// The settings can't be read.
    #[error("can't read the settings {path}: {source}: give a readable file with --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The settings have faults.
    #[error("{}", listed(path, faults))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// All faults, by line.
        faults: Vec<ConfFault>,
    },
    /// The platform names no settings file.
    #[error("the variable {0} isn't set: start the daemon on the platform, or with --settings")]
    NoSettings(&'static str),
    /// The platform's settings have a fault.
    #[error(transparent)]
    PlatformSettings(#[from] SettingsFault),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}: choose a free address of this instance")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A thread can't be started.
    #[error("can't start a thread: {0}: raise the limit of threads of this process")]
    Thread(io::Error),
    /// Signals can't be taken.
    #[error("can't take signals: {0}: start the daemon without a filter of signals")]
    Signals(io::Error),
    /// The logger can't be set up.
    #[error("can't set up the log: {0}: start one daemon in a process")]
    Log(#[from] log::SetLoggerError),
    /// The metrics can't be set up.
    #[error("can't set up the metrics: {0}: report this as a defect")]
    Metrics(#[from] prometheus::Error),
}

fn listed(path: &std::path::Path, faults: &[ConfFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}
