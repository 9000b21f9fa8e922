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

/// What the line begins with that tells where a program listens.
const LISTENING: &str = "listening ";

/// A program of this workspace that runs until it is dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
    /// Where it listens, in the order in which it says so.
    pub addresses: Vec<SocketAddr>,
}

impl Drop for Program {
    fn drop(&mut self) {
        // It fails only for a process that has ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Program {
    /// Starts a program from the folder of this one and waits until it listens.
    pub fn start<A: AsRef<OsStr>>(name: &str, args: &[A]) -> Result<Self, PathError> {
        let not_built = |source| PathError::NotBuilt {
            program: name.to_owned(),
            source,
        };
        let path = std::env::current_exe()
            .map_err(not_built)?
            .with_file_name(name);
        let mut child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(not_built)?;
        let out = child.stdout.take();
        let mut program = Self {
            child,
            addresses: Vec::new(),
        };
        let mut lines = BufReader::new(out.expect("standard output is piped"));
        program.addresses = addresses(name, &mut lines)?;
        drain(lines);
        Ok(program)
    }

    /// Where it listens first.
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

/// Reads up to the line that tells where a program listens: `listening ADDRESS`, or
/// `listening NAME=ADDRESS NAME=ADDRESS`.
fn addresses(name: &str, lines: &mut impl BufRead) -> Result<Vec<SocketAddr>, PathError> {
    loop {
        let mut line = String::new();
        let read = lines.read_line(&mut line).unwrap_or(0);
        if read == 0 {
            return Err(PathError::Ended {
                program: name.to_owned(),
            });
        }
        let Some(list) = line.trim().strip_prefix(LISTENING) else {
            continue;
        };
        let parse = |word: &str| word.rsplit('=').next().unwrap_or_default().parse().ok();
        let parsed: Option<Vec<_>> = list.split(' ').map(parse).collect();
        return parsed.ok_or_else(|| PathError::BadLine {
            program: name.to_owned(),
            line: line.clone(),
        });
    }
}

/// Reads what a program prints, so that it never waits for a reader. Ends with the program.
fn drain(mut lines: BufReader<ChildStdout>) {
    thread::spawn(move || io::copy(&mut lines, &mut io::sink()));
}
