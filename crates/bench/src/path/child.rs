use {
    super::errors::PathError,
    std::{
        ffi::OsStr,
        io::{self, BufRead, BufReader},
        net::SocketAddr,
        process::{Child, ChildStdout, Command, Stdio},
        thread,
    },
};

/// Prefix of the line with a program's listening addresses.
const LISTENING_PREFIX: &str = "listening ";

/// A running program of this workspace, killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
    /// Listening addresses, in the order in which the program prints them.
    pub addresses: Vec<SocketAddr>,
}

impl Drop for Program {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Program {
    /// Starts a program from the directory of this one and waits until it listens.
    ///
    /// # Errors
    /// [`PathError`] if the program can't be started, exits early or prints no valid addresses.
    pub fn start<A: AsRef<OsStr>>(name: &str, args: &[A]) -> Result<Self, PathError> {
        let not_started = |source| PathError::NotStarted {
            program: name.to_owned(),
            source,
        };
        let path = std::env::current_exe()
            .map_err(not_started)?
            .with_file_name(name);
        let mut child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(not_started)?;
        let stdout = child.stdout.take();
        let mut program = Self {
            child,
            addresses: Vec::new(),
        };
        let mut lines = BufReader::new(stdout.expect("standard output is piped"));
        program.addresses = read_addresses(name, &mut lines)?;
        drain(lines);
        Ok(program)
    }

    /// Returns its first listening address.
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

/// Reads lines up to the one with the listening addresses: `listening ADDRESS`, or
/// `listening NAME=ADDRESS NAME=ADDRESS`.
fn read_addresses(name: &str, lines: &mut impl BufRead) -> Result<Vec<SocketAddr>, PathError> {
    loop {
        let mut line = String::new();
        let read = lines.read_line(&mut line).unwrap_or(0);
        if read == 0 {
            return Err(PathError::ExitedEarly {
                program: name.to_owned(),
            });
        }
        let Some(list) = line.trim().strip_prefix(LISTENING_PREFIX) else {
            continue;
        };
        let parse = |word: &str| word.rsplit('=').next().unwrap_or_default().parse().ok();
        let parsed: Option<Vec<_>> = list.split(' ').map(parse).collect();
        return parsed.ok_or_else(|| PathError::InvalidAddress {
            program: name.to_owned(),
            line: line.clone(),
        });
    }
}

/// Discards the rest of a program's output, so that it never blocks on a full pipe. The thread ends with
/// the program.
fn drain(mut lines: BufReader<ChildStdout>) {
    thread::spawn(move || io::copy(&mut lines, &mut io::sink()));
}
