use super::{
    check::check_settings,
    fault::ConfFault,
    reader::{NodeValue, parse_jsonc},
    records::{RecordEntry, check_records},
    settings::Settings,
};

/// What a file turned out to be.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfFile {
    /// Settings of a daemon.
    Settings(Box<Settings>),
    /// Records.
    Records(Vec<RecordEntry>),
}

/// Reads a file that holds either settings, an object, or records, a list.
///
/// # Errors
/// All faults, by line.
pub fn check_file(text: &str) -> Result<ConfFile, Vec<ConfFault>> {
    let node = parse_jsonc(text).map_err(|fault| vec![fault])?;
    if matches!(node.value, NodeValue::List(_)) {
        return check_records(text).map(ConfFile::Records);
    }
    check_settings(text).map(|settings| ConfFile::Settings(Box::new(settings)))
}
