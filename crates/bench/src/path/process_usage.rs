use {
    super::errors::PathError,
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
    },
};

/// What a process has used, as the kernel counts it.
#[derive(Debug)]
pub struct ProcessUse(PathBuf);

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Held {
    /// Resident memory, in KiB.
    pub rss_kib: u64,
    /// Most resident memory so far, in KiB.
    pub peak_rss_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
}

impl ProcessUse {
    /// Reads of a process.
    pub fn of(id: u32) -> Self {
        Self(PathBuf::from(format!("/proc/{id}")))
    }

    /// Memory and descriptors now.
    pub fn held(&self) -> Result<Held, PathError> {
        let path = self.0.join("status");
        let status = read(&path)?;
        Ok(Held {
            rss_kib: field(&status, "VmRSS:"),
            peak_rss_kib: field(&status, "VmHWM:"),
            descriptors: list(&self.0.join("fd"))?.len() as u64,
            threads: field(&status, "Threads:"),
        })
    }

    /// Processor time so far in ns, by the name of the threads. It is read per thread because the
    /// process's own count has steps of 10 ms, too coarse for an idle process.
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

/// Descriptors that this process, and each that it starts, may have open.
pub fn descriptor_limit() -> Result<u64, PathError> {
    let limits = read(Path::new("/proc/self/limits"))?;
    Ok(field(&limits, "Max open files"))
}

/// The first number after a name at the start of a line, 0 if there is none.
fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

fn read(path: &Path) -> Result<String, PathError> {
    fs::read_to_string(path).map_err(|source| failed(path, source))
}

fn list(path: &Path) -> Result<Vec<PathBuf>, PathError> {
    let entries = fs::read_dir(path).map_err(|source| failed(path, source))?;
    Ok(entries.flatten().map(|entry| entry.path()).collect())
}

fn failed(path: &Path, source: std::io::Error) -> PathError {
    PathError::System {
        what: path.display().to_string(),
        source,
    }
}
