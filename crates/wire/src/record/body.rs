use {
    super::{AccountRecord, PolicyRecord, RouteRecord, TargetRecord, read::read_record},
    crate::conf::{
        ConfFault, FaultKind,
        reader::{Faults, Place, parse_json},
    },
    thiserror::Error,
};

/// Oldest schema version that is still valid.
pub const OLDEST_SCHEMA: u32 = 1;
/// Newest schema version that this build knows.
pub const NEWEST_SCHEMA: u32 = 2;

/// A record that was understood.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordBody {
    /// Which accounts and callers are served by which providers.
    Route(RouteRecord),
    /// A client account.
    Account(AccountRecord),
    /// A target.
    Target(TargetRecord),
    /// What the deployment cares for.
    Policy(PolicyRecord),
}

/// Why a record isn't in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordFault {
    /// The value isn't JSON.
    #[error("the value is not valid JSON ({detail}): run `whinlatch check` on the file")]
    NotJson {
        /// What the parser says, with line and column.
        detail: String,
    },
    /// The schema version isn't known here.
    #[error(
        "schema {found} is not known here: publish schema {OLDEST_SCHEMA} to {NEWEST_SCHEMA}, \
         or update this daemon"
    )]
    UnknownSchema {
        /// The version that the record states.
        found: u32,
    },
    /// A field is missing, unknown or of the wrong type.
    #[error("field `{path}`: {detail}")]
    BadField {
        /// Path of the field, such as `spec.providers[1].share_per_mille`.
        path: String,
        /// What is wrong and what to write instead.
        detail: String,
    },
}

/// Reads a record's value. The verdict depends on the bytes alone, so that all daemons of one
/// build agree on it.
///
/// # Errors
/// The first fault of the value, with the field's path and the remedy.
pub fn parse_record(value: &str) -> Result<RecordBody, RecordFault> {
    let node = parse_json(value).map_err(|error| RecordFault::NotJson {
        detail: error.to_string(),
    })?;
    let mut faults = Faults::default();
    let body = read_record(&Place::root(&node), &mut faults);
    faults.into_result(body).map_err(|faults| first_of(&faults))
}

fn first_of(faults: &[ConfFault]) -> RecordFault {
    match faults {
        [
            ConfFault {
                kind: FaultKind::UnknownSchema { found },
                ..
            },
            ..,
        ] => RecordFault::UnknownSchema { found: *found },
        [first, ..] => RecordFault::BadField {
            path: first.path.clone(),
            detail: first.kind.to_string(),
        },
        [] => RecordFault::NotJson {
            detail: "the value can't be read".to_owned(),
        },
    }
}
