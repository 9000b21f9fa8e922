//! Errors other than the outcomes that daemons report, and the exit codes.

use {
    std::{io, net::SocketAddr, path::PathBuf, process::ExitCode},
    thiserror::Error,
    whinlatch_wire::ids::RequestId,
};

/// Exit code of the tool. The numbers are documented and stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The request completed, or the files are valid.
    Completed = 0,
    /// A daemon's answer can't be used, the request isn't known, or standard output failed.
    BadAnswer = 1,
    /// Invalid options, an unreadable input, or a file with faults.
    Usage = 2,
    /// No target ran the request and none will.
    NotRun = 3,
    /// The request may have run.
    Unknown = 4,
    /// No entry could be reached.
    NoEntry = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

#[derive(Debug, Error)]
pub(crate) enum CliError {
    #[error("no entry given: pass --entry ADDRESS or set WHINLATCH_ENTRY")]
    NoEntryGiven,
    #[error("{text:?} in WHINLATCH_ENTRY is not an address: use IP:PORT, separated by commas")]
    BadEntry { text: String },
    #[error(
        "{text:?} is not a request id: use 32 hexadecimal digits, or --log FILE to look up other ids"
    )]
    BadRequestId { text: String },
    #[error("no log line mentions request {request}: pass the logs of all instances with --log")]
    NotLogged { request: String },
    #[error("no account given: pass --account NAME or set WHINLATCH_ACCOUNT")]
    NoAccount,
    #[error("{what} can't be sent in a header: use visible ASCII characters only")]
    NotAscii { what: &'static str },
    #[error(
        "the service name {name:?} is not valid in a URL path: use ASCII letters, digits and -._~@:+"
    )]
    BadServiceName { name: String },
    #[error("{option} is 0: use at least 1")]
    Zero { option: &'static str },
    #[error("--ticket applies to one request: remove --count")]
    TicketForMany,
    #[error("can't read {path} ({source}): check the path and its permissions")]
    File { path: PathBuf, source: io::Error },
    #[error("can't read standard input as text ({0}): pass UTF-8 text, or a file by option")]
    Stdin(io::Error),
    #[error("can't write to standard output ({0}): check the process that reads it")]
    Stdout(#[from] io::Error),
    #[error(
        "no entry could be reached (tried {}): check the addresses and that an entry is running",
        join_addresses(tried)
    )]
    NoEntry { tried: Vec<SocketAddr> },
    #[error(
        "{entry} answered {status} ({detail}): check that whinlatchd of this version is running there"
    )]
    BadAnswer {
        entry: SocketAddr,
        status: u16,
        detail: String,
    },
    #[error(
        "no entry knows request {request}: only the entry that admitted it keeps its decisions, and only for a while"
    )]
    NotKnown { request: RequestId },
}

impl CliError {
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoEntry { .. } => Exit::NoEntry,
            Self::BadAnswer { .. }
            | Self::NotKnown { .. }
            | Self::NotLogged { .. }
            | Self::Stdout(_) => Exit::BadAnswer,
            Self::NoEntryGiven
            | Self::BadEntry { .. }
            | Self::BadRequestId { .. }
            | Self::NoAccount
            | Self::NotAscii { .. }
            | Self::BadServiceName { .. }
            | Self::Zero { .. }
            | Self::TicketForMany
            | Self::File { .. }
            | Self::Stdin(_) => Exit::Usage,
        }
    }
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    let texts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(", ")
}
