//! A daemon in its own process.

use {
    async_std::task,
    rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid},
    std::{
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, ChildStdout, Command, ExitStatus, Stdio},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        thread,
    },
    whinlatch_wire::conf::Settings,
};

/// Number of processes started so far; makes the names of their settings directories unique.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A daemon process; killed by its id when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    directory: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _best_effort = fs::remove_dir_all(&self.directory);
        if thread::panicking() {
            let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            eprintln!("--- log of {}\n{}", self.callers, lines.join("\n"));
        }
    }
}

impl Process {
    /// Starts the program and waits until it listens.
    pub async fn start(settings: &Settings) -> Self {
        let settings = settings.clone();
        task::spawn_blocking(move || Self::start_blocking(&settings)).await
    }

    fn start_blocking(settings: &Settings) -> Self {
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let name = format!("processes-{}-{number}", std::process::id());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        let file = directory.join("whinlatchd.jsonc");
        fs::write(&file, serde_json::to_string(settings).unwrap()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_whinlatchd"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let (callers, peers) = read_addresses(&mut out);
        let lines = Arc::default();
        collect_lines(out, Arc::clone(&lines));
        Self {
            child,
            directory,
            lines,
            callers,
            peers,
        }
    }

    /// Kills the process without a graceful shutdown, as a crash of its instance would.
    pub fn kill(&mut self) {
        // This fails only if the process has ended already.
        let _ended = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Suspends the process; returns once the system reports it as stopped.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(self.id()), WaitOptions::UNTRACED).unwrap();
        assert!(stopped.unwrap().1.stopped());
    }

    /// Resumes a frozen process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    fn signal(&self, signal: Signal) {
        kill_process(self.id(), signal).unwrap();
    }

    fn id(&self) -> Pid {
        Pid::from_child(&self.child)
    }
}

fn read_addresses(out: &mut BufReader<ChildStdout>) -> (SocketAddr, SocketAddr) {
    loop {
        let mut line = String::new();
        assert_ne!(out.read_line(&mut line).unwrap(), 0, "the daemon ended");
        if let Some(addresses) = line.trim_end().strip_prefix("listening callers=") {
            let (callers, peers) = addresses.split_once(" peers=").unwrap();
            return (callers.parse().unwrap(), peers.parse().unwrap());
        }
    }
}

/// Collects the log, to print it if the test fails. Reading it also keeps the pipe from filling up,
/// which would block the daemon.
fn collect_lines(out: BufReader<ChildStdout>, lines: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
    });
}
