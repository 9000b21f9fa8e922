//! A daemon in a process of its own.

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

/// Tells the settings files of one run of the tests apart.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A daemon; killed by its own id when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    folder: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _best_effort = fs::remove_dir_all(&self.folder);
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
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        let file = folder.join("whinlatchd.jsonc");
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
        keep_lines(out, Arc::clone(&lines));
        Self {
            child,
            folder,
            lines,
            callers,
            peers,
        }
    }

    /// Ends the process at once, as a crash of its instance would.
    pub fn kill(&mut self) {
        // It fails only where the process has ended already.
        let _ended = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Stops the process in time; returns when it stands still.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(self.id()), WaitOptions::UNTRACED).unwrap();
        assert!(stopped.unwrap().1.stopped());
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells the process to leave.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
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

/// Keeps the log for the report of a failed test, and keeps the pipe from filling up.
fn keep_lines(out: BufReader<ChildStdout>, lines: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
    });
}
