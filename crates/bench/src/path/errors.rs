use {std::io, thiserror::Error};

/// Why a measurement has no figures.
#[derive(Debug, Error)]
pub enum PathError {
    /// A program of the workspace can't be started.
    #[error(
        "can't start {program} ({source}): build it with \
         `cargo build --release -p whinlatchd -p whinlatch-standins`"
    )]
    NotBuilt {
        /// The program.
        program: String,
        /// The system's word.
        source: io::Error,
    },
    /// A program ended before it listened.
    #[error("{program} ended before it listened: see its message above")]
    Ended {
        /// The program.
        program: String,
    },
    /// What a program says of its address can't be read.
    #[error("{program} says {line:?} of its address: build all programs anew")]
    BadLine {
        /// The program.
        program: String,
        /// What it says.
        line: String,
    },
    /// An answer didn't come whole.
    #[error("{what} has no whole answer ({why}): see whether the machine is out of descriptors")]
    NoAnswer {
        /// What was asked for.
        what: &'static str,
        /// What came instead.
        why: String,
    },
    /// Something that was waited for didn't come about.
    #[error("{0} in good time: run it again when the machine is less busy")]
    Late(&'static str),
    /// The kernel's figures or a file can't be read or written.
    #[error("{what}: {source}: run it on Linux with /proc and a folder for temporary files")]
    System {
        /// What was read or written.
        what: String,
        /// The system's word.
        source: io::Error,
    },
}
