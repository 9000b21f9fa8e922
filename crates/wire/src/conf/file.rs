use super::{
    check::check_settings,
    fault::ConfFault,
    reader::{NodeValue, parse_jsonc},
    records::{RecordEntry, check_records},
    settings::Settings,
};

/// The content of a checked file.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfFile {
    /// The file contains the settings of a daemon.
    Settings(Box<Settings>),
    /// The file contains records, possibly none.
    Records(Vec<RecordEntry>),
}

/// Parses and checks a file of either kind: a list contains records, anything else is read as
/// settings.
///
/// # Errors
/// All faults, ordered by line.
pub fn check_file(text: &str) -> Result<ConfFile, Vec<ConfFault>> {
    let node = parse_jsonc(text).map_err(|fault| vec![fault])?;
    if matches!(node.value, NodeValue::List(_)) {
        return check_records(text).map(ConfFile::Records);
    }
    check_settings(text).map(|settings| ConfFile::Settings(Box::new(settings)))
}
