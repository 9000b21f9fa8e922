//! An entry instance as a process, which is started again when it ends, as the platform does.

use {
    crate::{finding::Finding, ledger::InstanceRun},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        env,
        fs::{self, File, OpenOptions},
        io,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::SettingsFile,
};

/// Name of the program, which stands beside this one.
const PROGRAM: &str = "whinlatchd";
/// Variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "WHINLATCH_NODE_FILE";
/// Time between the end of a process and its next start.
const RESTART: Duration = Duration::from_millis(200);

/// What the process was told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Serve,
    Stop,
    Die,
}

/// An entry instance; its process is killed by its own id when dropped.
#[derive(Debug)]
pub struct Instance {
    /// Its settings.
    pub settings: SettingsFile,
    number: usize,
    folder: PathBuf,
    child: Option<Child>,
    told: Told,
    ended_at: Option<Instant>,
    starts: u32,
    is_paused: bool,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.resume();
        self.kill();
        if let Some(child) = &mut self.child {
            // It is dead or dying; an error says that it was waited for already.
            let _status = child.wait();
        }
    }
}

impl Instance {
    /// Starts the process; its files are in `folder`.
    ///
    /// # Errors
    /// The program isn't there, or the folder can't be written.
    pub fn start(number: usize, settings: SettingsFile, folder: &Path) -> io::Result<Self> {
        let mut instance = Self {
            settings,
            number,
            folder: folder.to_owned(),
            child: None,
            told: Told::Serve,
            ended_at: None,
            starts: 0,
            is_paused: false,
        };
        instance.spawn()?;
        Ok(instance)
    }

    /// The run that serves now.
    pub fn run(&self) -> InstanceRun {
        InstanceRun {
            instance: self.number,
            starts: self.starts,
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.conf", self.settings.name))
    }

    fn spawn(&mut self) -> io::Result<()> {
        fs::write(self.settings_path(), self.settings.text())?;
        let log = self.folder.join(format!("{}.log", self.settings.name));
        let log: File = OpenOptions::new().create(true).append(true).open(log)?;
        let program = env::current_exe()?.with_file_name(PROGRAM);
        let child = Command::new(program)
            .arg("--platform")
            .env(SETTINGS_VARIABLE, self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.told = Told::Serve;
        self.starts += 1;
        Ok(())
    }

    /// Starts the process again if it has ended. Returns what is wrong with its end.
    ///
    /// # Errors
    /// The process can't be waited for or started.
    pub fn supervise(&mut self) -> io::Result<Option<Finding>> {
        if let Some(ended_at) = self.ended_at {
            if ended_at.elapsed() >= RESTART {
                self.ended_at = None;
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
        self.child = None;
        self.ended_at = Some(Instant::now());
        Ok(self.judge_end(status))
    }

    fn judge_end(&self, status: ExitStatus) -> Option<Finding> {
        let is_right = match self.told {
            Told::Serve => false,
            Told::Stop => status.success(),
            Told::Die => true,
        };
        let seen = format!(
            "{} ended with {status} after it was told to {:?}",
            self.settings.name, self.told
        );
        (!is_right).then(|| Finding::new("process ends only when told", seen))
    }

    /// Tells the process to stop.
    pub fn terminate(&mut self) {
        if self.told == Told::Serve {
            self.told = Told::Stop;
        }
        self.signal(Signal::TERM);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.told = Told::Die;
        self.signal(Signal::KILL);
    }

    /// Lets the process stand still.
    pub fn pause(&mut self) {
        self.is_paused = true;
        self.signal(Signal::STOP);
    }

    /// Lets a process go on that stands still.
    pub fn resume(&mut self) {
        if std::mem::replace(&mut self.is_paused, false) {
            self.signal(Signal::CONT);
        }
    }

    /// Changes the order of its seeds and signals that its settings have changed.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn reload(&mut self) -> io::Result<()> {
        self.settings.seeds.rotate_left(1);
        fs::write(self.settings_path(), self.settings.text())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It fails only where the process has ended, which `supervise` sees.
            let _ended = kill_process(Pid::from_child(child), signal);
        }
    }
}
