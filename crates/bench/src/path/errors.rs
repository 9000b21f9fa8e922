use {std::io, thiserror::Error};

/// Failure of a measurement.
#[derive(Debug, Error)]
pub enum PathError {
    /// A program of the workspace can't be started.
    #[error(
        "cannot start {program}: {source} (build it with \
         `cargo build --release -p whinlatchd -p whinlatch-standins`)"
    )]
    NotStarted {
        /// File name of the program.
        program: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A program exited before it printed its addresses.
    #[error("{program} exited before it was listening (see its output above)")]
    ExitedEarly {
        /// File name of the program.
        program: String,
    },
    /// The line with a program's addresses can't be parsed.
    #[error("{program} printed invalid addresses {line:?} (rebuild all programs)")]
    InvalidAddress {
        /// File name of the program.
        program: String,
        /// The line that it printed.
        line: String,
    },
    /// A request failed, or its response was incomplete.
    #[error("{request} failed: {detail} (check the limit of file descriptors)")]
    IncompleteResponse {
        /// Description of the request.
        request: &'static str,
        /// Description of the failure.
        detail: String,
    },
    /// A condition wasn't met in time. Holds a sentence about it.
    #[error("{0} in time: run it again when the machine is less busy")]
    Timeout(&'static str),
    /// A file in `/proc` or in the temporary directory can't be read or written.
    #[error(
        "{path}: {source} (needs Linux with /proc and a writable directory for temporary files)"
    )]
    Io {
        /// The file or directory.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
}
