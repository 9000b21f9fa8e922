//! What can go wrong outside a daemon's own outcome, and the exit code of each end.

use {
    std::{io, net::SocketAddr, path::PathBuf, process::ExitCode},
    thiserror::Error,
    whinlatch_wire::ids::RequestId,
};

/// How the tool ends. The numbers are documented and don't change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Completed, or the file is good.
    Completed = 0,
    /// A daemon answered what can't be used.
    BadAnswer = 1,
    /// Wrong options or a faulty file.
    Usage = 2,
    /// The request was not run.
    NotRun = 3,
    /// The request may have been run.
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
    #[error("no entry is given: name one with --entry ADDRESS or in WHINLATCH_ENTRY")]
    NoEntryGiven,
    #[error("{text:?} in WHINLATCH_ENTRY is not an address: write IP:PORT, several with commas")]
    BadEntry { text: String },
    #[error(
        "{text:?} is no id of a request: give 32 hexadecimal digits, or --log FILE for ids of others"
    )]
    BadRequestId { text: String },
    #[error("no line tells of request {request}: give the logs of all instances with --log")]
    NotLogged { request: String },
    #[error("no account is given: name one with --account NAME or in WHINLATCH_ACCOUNT")]
    NoAccount,
    #[error("{what} can't be sent in a header: use visible ASCII characters only")]
    NotAscii { what: &'static str },
    #[error(
        "the service name {name:?} can't stand in a path: use ASCII letters, digits and -._~@:+"
    )]
    BadServiceName { name: String },
    #[error("{option} is 0: give at least 1")]
    Zero { option: &'static str },
    #[error("--ticket is for one request: leave out --count")]
    TicketForMany,
    #[error("{path} can't be read ({source}): check the path and its permissions")]
    File { path: PathBuf, source: io::Error },
    #[error("standard input can't be read as text ({0}): give UTF-8 text, or a file by option")]
    Stdin(io::Error),
    #[error("standard output can't be written ({0}): check what reads it")]
    Stdout(#[from] io::Error),
    #[error(
        "no entry could be reached (tried {}): check the addresses and that one runs",
        list(tried)
    )]
    NoEntry { tried: Vec<SocketAddr> },
    #[error(
        "{entry} answered {status} ({detail}): check that whinlatchd of this version runs there"
    )]
    BadAnswer {
        entry: SocketAddr,
        status: u16,
        detail: String,
    },
    #[error("no entry knows request {request}: decisions are kept for a while, by the entry asked")]
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

fn list(addresses: &[SocketAddr]) -> String {
    let texts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(", ")
}
