use {
    super::{AccountRecord, PolicyRecord, RouteRecord, TargetRecord, read::read_record},
    crate::conf::{
        ConfFault, FaultKind,
        reader::{Faults, Location, parse_json},
    },
    thiserror::Error,
};

/// Oldest schema version that this build accepts.
pub const OLDEST_SCHEMA: u32 = 1;
/// Newest schema version that this build accepts.
pub const NEWEST_SCHEMA: u32 = 2;

/// The decoded value of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordBody {
    /// Assigns a model or service to accounts, callers and providers.
    Route(RouteRecord),
    /// Defines a client account with its keys and quotas.
    Account(AccountRecord),
    /// Defines a target with its address and role.
    Target(TargetRecord),
    /// Sets objectives and limits of the deployment.
    Policy(PolicyRecord),
}

/// The reason for which a record is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordFault {
    /// The value is not valid JSON.
    #[error("the value is not valid JSON ({detail}): run `whinlatch check` on the file")]
    NotJson {
        /// Message of the JSON parser, with line and column.
        detail: String,
    },
    /// The schema version is outside [`OLDEST_SCHEMA`] to [`NEWEST_SCHEMA`].
    #[error(
        "this daemon does not support schema {found}: publish schema {OLDEST_SCHEMA} to \
         {NEWEST_SCHEMA}, or update this daemon"
    )]
    UnknownSchema {
        /// The version that the record states.
        found: u32,
    },
    /// A field is missing, unknown, duplicated or has an invalid value.
    #[error("field `{path}`: {detail}")]
    BadField {
        /// Path of the field, such as `spec.providers[1].share_per_mille`.
        path: String,
        /// Description of the fault, followed by the remedy.
        detail: String,
    },
}

/// Parses and checks a record's value. The result depends on the bytes alone, so that all daemons
/// of one build accept or reject the same records.
///
/// # Errors
/// The first fault of the value, with the field's path and the remedy.
pub fn parse_record(value: &str) -> Result<RecordBody, RecordFault> {
    let node = parse_json(value).map_err(|error| RecordFault::NotJson {
        detail: error.to_string(),
    })?;
    let mut faults = Faults::default();
    let body = read_record(&Location::root(&node), &mut faults);
    faults
        .into_result(body)
        .map_err(|faults| first_fault(&faults))
}

fn first_fault(faults: &[ConfFault]) -> RecordFault {
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
