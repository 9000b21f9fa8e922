use {
    super::errors::PathError,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// A folder for temporary files that goes when it is dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Makes a folder that no other run uses.
    pub fn new() -> Result<Self, PathError> {
        let path = std::env::temp_dir().join(format!("whinlatch-path-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|source| failed(&path, source))?;
        Ok(Self(path))
    }

    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, PathError> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|source| failed(&path, source))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _may_be_gone = fs::remove_dir_all(&self.0);
    }
}

fn failed(path: &Path, source: io::Error) -> PathError {
    PathError::System {
        what: path.display().to_string(),
        source,
    }
}
