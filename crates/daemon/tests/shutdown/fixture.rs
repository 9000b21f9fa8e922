//! An entry instance as a process of its own, with the stand-ins around it.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        env, fs,
        fs::File,
        net::{IpAddr, Ipv4Addr},
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::{Caller, Fixture, SettingsFile, StoreStandin, TargetStandin},
};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "WHINLATCH_NODE_FILE";
/// Name of its settings file.
const SETTINGS: &str = "settings.conf";
/// Name of the file with its log.
const LOG: &str = "log";
/// Longest wait for one answer of the process; a bound against hanging.
pub const PATIENCE: Duration = Duration::from_mins(1);

/// A running process. Dropping it kills it and removes its files.
pub struct Process {
    pub settings: SettingsFile,
    child: Child,
    folder: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has exited already, or that its files are gone.
        let _exited = self.child.kill();
        let _status = self.child.wait();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Starts a process that the platform would kill `grace_s` after the signal to stop, and waits until it is ready.
    pub fn start(store: &StoreStandin, grace_s: u64) -> Self {
        Self::start_logging_to(store, grace_s, |path| File::create(path).unwrap().into())
    }

    /// Starts a process whose log nobody reads.
    pub fn start_unread(store: &StoreStandin, grace_s: u64) -> Self {
        Self::start_logging_to(store, grace_s, |_path| Stdio::piped())
    }

    fn start_logging_to(
        store: &StoreStandin,
        grace_s: u64,
        log: impl FnOnce(&Path) -> Stdio,
    ) -> Self {
        let net: u16 = fastrand::u16(..);
        let [high, low] = net.to_be_bytes();
        let ip = IpAddr::from(Ipv4Addr::new(127, high, low, 1));
        let settings = SettingsFile {
            name: "entry-1".to_owned(),
            ip,
            seeds: Vec::new(),
            store: store.address(),
            grace_s,
        };
        let folder = env::temp_dir().join(format!("shutdown-{}-{net}", process::id()));
        fs::create_dir_all(&folder).unwrap();
        let settings_path = folder.join(SETTINGS);
        fs::write(&settings_path, settings.text()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_whinlatchd"))
            .arg("--platform")
            .env(SETTINGS_VARIABLE, settings_path)
            .stdin(Stdio::null())
            .stdout(log(&folder.join(LOG)))
            .spawn()
            .unwrap();
        let process = Self {
            settings,
            child,
            folder,
        };
        while !process.is_ready() {
            std::thread::yield_now();
        }
        process
    }

    fn is_ready(&self) -> bool {
        let Ok(mut caller) = Caller::try_connect(self.settings.ready(), PATIENCE) else {
            return false;
        };
        let sent = caller.send_text("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        sent.is_ok() && caller.read().is_some_and(|answer| answer.status == 200)
    }

    /// Signals the process to stop.
    pub fn stop(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    /// Waits until the process has exited. Returns its log.
    pub fn wait(&mut self) -> String {
        assert!(self.child.wait().unwrap().success());
        fs::read_to_string(self.folder.join(LOG)).unwrap()
    }

    /// Waits until the process has exited. Returns `false` if it doesn't in [`PATIENCE`].
    pub fn exits(&mut self) -> bool {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            std::thread::yield_now();
        }
        false
    }

    /// Signals the process to read its settings again.
    pub fn reload(&self) {
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }

    /// Replaces the text of its settings file.
    pub fn write_settings(&self, text: &str) {
        fs::write(self.folder.join(SETTINGS), text).unwrap();
    }
}

/// Starts a store that publishes the default configuration and these targets.
pub fn store(engines: &[&TargetStandin], plain: &[&TargetStandin]) -> StoreStandin {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    for engine in engines {
        store.publish_engine(engine);
    }
    for target in plain {
        store.publish_plain(target);
    }
    store
}
