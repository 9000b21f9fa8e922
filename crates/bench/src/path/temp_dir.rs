use {
    super::errors::PathError,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// A directory for temporary files, removed when dropped.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a directory whose name has the process id.
    pub fn new() -> Result<Self, PathError> {
        let path = std::env::temp_dir().join(format!("whinlatch-path-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|source| io_error(&path, source))?;
        Ok(Self(path))
    }

    /// Writes a file in the directory. Returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, PathError> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|source| io_error(&path, source))?;
        Ok(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _may_not_exist = fs::remove_dir_all(&self.0);
    }
}

fn io_error(path: &Path, source: io::Error) -> PathError {
    PathError::Io {
        path: path.display().to_string(),
        source,
    }
}
