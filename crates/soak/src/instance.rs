//! An entry instance as a process, restarted when it exits, as the platform does.

use {
    crate::{
        finding::Finding,
        observations::{InstanceRun, InstanceStop},
    },
    rustix::process::{Pid, Signal, kill_process},
    std::{
        env,
        fs::{self, File, OpenOptions},
        io,
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::SettingsFile,
};

/// File name of the program, which is in the same folder as this one.
const PROGRAM: &str = "whinlatchd";
/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "WHINLATCH_NODE_FILE";
/// Time from the exit of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Last command to the process, which decides which exit is expected. Findings print the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastCommand {
    Serve,
    Stop,
    Die,
}

/// An entry instance. Dropping it kills its process, by the process's own id.
#[derive(Debug)]
pub struct Instance {
    /// Settings that the process reads from its file.
    pub settings: SettingsFile,
    number: usize,
    folder: PathBuf,
    child: Option<Child>,
    last_command: LastCommand,
    exited_at: Option<Instant>,
    starts: u32,
    is_paused: bool,
    stops: Vec<InstanceStop>,
    /// Length of the log at the start of the process, in bytes.
    log_bytes_before: u64,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.resume();
        self.kill();
        if let Some(child) = &mut self.child {
            // The process is dead or dying; an error means that it was waited for already.
            let _status = child.wait();
        }
    }
}

impl Instance {
    /// Starts the process, with its settings file and its log in `folder`.
    ///
    /// # Errors
    /// The program is missing, or the folder isn't writable.
    pub fn start(number: usize, settings: SettingsFile, folder: &Path) -> io::Result<Self> {
        let mut instance = Self {
            settings,
            number,
            folder: folder.to_owned(),
            child: None,
            last_command: LastCommand::Serve,
            exited_at: None,
            starts: 0,
            is_paused: false,
            stops: Vec::new(),
            log_bytes_before: 0,
        };
        instance.spawn()?;
        Ok(instance)
    }

    /// Returns the current run: how often the process was started so far.
    pub fn run(&self) -> InstanceRun {
        InstanceRun {
            instance: self.number,
            starts: self.starts,
        }
    }

    /// Returns the stops of its runs by signal so far.
    pub fn stops(&self) -> &[InstanceStop] {
        &self.stops
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.conf", self.settings.name))
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.settings.name))
    }

    /// Replaces the settings file as a whole: a process that is starting may read it at any moment.
    fn write_settings(&self) -> io::Result<()> {
        let written = self.settings_path().with_extension("new");
        fs::write(&written, self.settings.text())?;
        fs::rename(written, self.settings_path())
    }

    /// Returns whether the process ended by a signal that came before it handled signals: it has logged nothing yet.
    fn ended_before_start(&self, status: ExitStatus, signal: Signal) -> bool {
        let log_bytes = fs::metadata(self.log_path()).map_or(0, |log| log.len());
        status.signal() == Some(signal.as_raw()) && log_bytes == self.log_bytes_before
    }

    fn spawn(&mut self) -> io::Result<()> {
        self.write_settings()?;
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        self.log_bytes_before = log.metadata()?.len();
        let program = env::current_exe()?.with_file_name(PROGRAM);
        let child = Command::new(program)
            .arg("--platform")
            .env(SETTINGS_VARIABLE, self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.last_command = LastCommand::Serve;
        self.starts += 1;
        Ok(())
    }

    /// Restarts the process [`RESTART_DELAY`] after its exit. Returns a finding if it exited without a
    /// command, or with a failure after one to stop.
    ///
    /// # Errors
    /// Waiting for the process or starting it failed.
    pub fn supervise(&mut self) -> io::Result<Option<Finding>> {
        if let Some(exited_at) = self.exited_at {
            if exited_at.elapsed() >= RESTART_DELAY {
                self.exited_at = None;
                self.spawn()?;
            }
            return Ok(None);
        }
        let Some(status) = self
            .child
            .as_mut()
            .map(Child::try_wait)
            .transpose()?
            .flatten()
        else {
            return Ok(None);
        };
        let now = Instant::now();
        self.child = None;
        self.exited_at = Some(now);
        let run = self.run();
        if let Some(stop) = self.stops.last_mut().filter(|stop| stop.run == run) {
            stop.exited_at = Some(now);
        }
        Ok(self.check_exit(status))
    }

    fn check_exit(&self, status: ExitStatus) -> Option<Finding> {
        let is_expected = match self.last_command {
            LastCommand::Serve => self.ended_before_start(status, Signal::HUP),
            LastCommand::Stop => {
                status.success()
                    || self.ended_before_start(status, Signal::TERM)
                    || self.ended_before_start(status, Signal::HUP)
            }
            LastCommand::Die => true,
        };
        let seen = format!(
            "{} exited with {status}; its last command was {:?}",
            self.settings.name, self.last_command
        );
        (!is_expected).then(|| Finding::new("process ends only when told", seen))
    }

    /// Signals the process to stop in an orderly way.
    pub fn terminate(&mut self) {
        if self.last_command == LastCommand::Serve && self.child.is_some() {
            self.last_command = LastCommand::Stop;
            self.stops.push(InstanceStop {
                run: self.run(),
                signalled_at: Instant::now(),
                exited_at: None,
            });
        }
        self.signal(Signal::TERM);
    }

    /// Kills the process. Any exit is expected after that.
    pub fn kill(&mut self) {
        self.last_command = LastCommand::Die;
        self.signal(Signal::KILL);
    }

    /// Pauses the process by a signal.
    pub fn pause(&mut self) {
        self.is_paused = true;
        self.signal(Signal::STOP);
    }

    /// Resumes the process if it is paused.
    pub fn resume(&mut self) {
        if std::mem::replace(&mut self.is_paused, false) {
            self.signal(Signal::CONT);
        }
    }

    /// Rotates the seed peers in the settings file and signals the process to reload it.
    ///
    /// # Errors
    /// The settings file isn't writable.
    pub fn reload(&mut self) -> io::Result<()> {
        self.settings.seeds.rotate_left(1);
        self.write_settings()?;
        self.signal(Signal::HUP);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // This fails only if the process has exited, which `supervise` detects.
            let _exited = kill_process(Pid::from_child(child), signal);
        }
    }
}
