use {
    crate::errors::DaemonError,
    std::{fs, path::Path},
    whinlatch_wire::conf::{Settings, check_settings},
};

/// Reads and checks the settings file.
///
/// # Errors
/// [`DaemonError::Unreadable`] if the file can't be read, [`DaemonError::InvalidSettings`] with all its
/// faults if it is invalid.
pub fn load(path: &Path) -> Result<Settings, DaemonError> {
    let text = fs::read_to_string(path).map_err(|source| DaemonError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    check_settings(&text).map_err(|faults| DaemonError::InvalidSettings {
        path: path.to_owned(),
        faults,
    })
}
