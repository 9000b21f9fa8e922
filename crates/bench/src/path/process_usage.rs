use {
    super::errors::PathError,
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
    },
};

/// Resource usage of a process, read from `/proc`.
#[derive(Debug)]
pub struct ProcessUsage(PathBuf);

/// Memory, file descriptors and threads of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Resources {
    /// Resident memory, in KiB.
    pub rss_kib: u64,
    /// Peak resident memory since the start of the process, in KiB.
    pub peak_rss_kib: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Number of threads.
    pub threads: u64,
}

impl ProcessUsage {
    /// Returns the usage of the process with this id.
    pub fn of(id: u32) -> Self {
        Self(PathBuf::from(format!("/proc/{id}")))
    }

    /// Reads the current memory, file descriptors and threads.
    pub fn resources(&self) -> Result<Resources, PathError> {
        let path = self.0.join("status");
        let status = read(&path)?;
        Ok(Resources {
            rss_kib: field(&status, "VmRSS:"),
            peak_rss_kib: field(&status, "VmHWM:"),
            descriptors: list(&self.0.join("fd"))?.len() as u64,
            threads: field(&status, "Threads:"),
        })
    }

    /// Reads the CPU time since the start of the process, in ns, summed by thread name. It is read per thread
    /// because the count of the process has a resolution of 10 ms, too coarse for an idle process.
    pub fn cpu_ns(&self) -> Result<BTreeMap<String, u64>, PathError> {
        let mut by_name = BTreeMap::new();
        for thread in list(&self.0.join("task"))? {
            let name = read(&thread.join("comm"))?.trim().to_owned();
            let time = read(&thread.join("schedstat"))?;
            let time = time.split(' ').next().and_then(|ns| ns.parse().ok());
            *by_name.entry(name).or_default() += time.unwrap_or(0_u64);
        }
        Ok(by_name)
    }
}

/// Reads the limit of open file descriptors of this process, which its child processes inherit.
pub fn descriptor_limit() -> Result<u64, PathError> {
    let limits = read(Path::new("/proc/self/limits"))?;
    Ok(field(&limits, "Max open files"))
}

/// Returns the first number after a field name at the start of a line, or 0 if there is none.
fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

fn read(path: &Path) -> Result<String, PathError> {
    fs::read_to_string(path).map_err(|source| io_error(path, source))
}

fn list(path: &Path) -> Result<Vec<PathBuf>, PathError> {
    let entries = fs::read_dir(path).map_err(|source| io_error(path, source))?;
    Ok(entries.flatten().map(|entry| entry.path()).collect())
}

fn io_error(path: &Path, source: std::io::Error) -> PathError {
    PathError::Io {
        path: path.display().to_string(),
        source,
    }
}
