use {
    crate::errors::DaemonError,
    std::{fs, path::Path},
    whinlatch_wire::conf::{Settings, check_settings},
};

/// Reads the settings and checks them whole.
///
/// # Errors
/// The file can't be read, or all its faults.
pub fn load(path: &Path) -> Result<Settings, DaemonError> {
    let text = fs::read_to_string(path).map_err(|source| DaemonError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    check_settings(&text).map_err(|faults| DaemonError::Faulty {
        path: path.to_owned(),
        faults,
    })
}
