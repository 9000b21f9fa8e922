//! Errors that prevent the daemon from starting.

use {
    std::{io, net::SocketAddr, path::PathBuf},
    thiserror::Error,
    whinlatch_platform::SettingsFault,
    whinlatch_wire::conf::ConfFault,
};

/// Reason why the daemon couldn't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// `--without` was given without `--platform`; its mechanisms exist only there.
    #[error("--without is only for the users' platform: leave it out, or give --platform")]
    WithoutNeedsPlatform,
    /// `--metrics-port` was given without `--platform`; metrics are served on the address for callers
    /// otherwise.
    #[error("--metrics-port is only for the users' platform: leave it out, or give --platform")]
    MetricsPortNeedsPlatform,
    /// The settings file can't be read.
    #[error("can't read the settings {path}: {source}: give a readable file with --settings")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[error("{}", fault_lines(path, faults))]
    InvalidSettings {
        /// Path of the file.
        path: PathBuf,
        /// All faults of the file, in the order of their lines.
        faults: Vec<ConfFault>,
    },
    /// The environment variable that names the settings file isn't set.
    #[error("the variable {0} isn't set: start the daemon on the platform, or with --settings")]
    NoSettings(&'static str),
    /// The settings file of the platform is invalid.
    #[error(transparent)]
    PlatformSettings(#[from] SettingsFault),
    /// The daemon can't listen on an address of its settings.
    #[error("can't listen on {address}: {source}: choose a free address of this instance")]
    Listen {
        /// Address as configured.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The system can't start another thread.
    #[error("can't start a thread: {0}: raise the thread limit of this process")]
    Thread(io::Error),
    /// Signal handlers can't be installed.
    #[error("can't handle signals: {0}: start the daemon without a signal filter")]
    Signals(io::Error),
    /// The process has a logger already.
    #[error("can't set up the log: {0}: start only one daemon per process")]
    Log(#[from] log::SetLoggerError),
    /// Two metrics have the same name, or one has an invalid name.
    #[error("can't set up the metrics: {0}: report this as a defect")]
    Metrics(#[from] prometheus::Error),
}

fn fault_lines(path: &std::path::Path, faults: &[ConfFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}
