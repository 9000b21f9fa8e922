//! Parses the value of a record and collects all its faults.

mod account;
mod policy;
mod route;
mod target;

use {
    self::{
        account::read_account,
        policy::read_policy,
        route::{read_route_v1, read_route_v2},
        target::read_target,
    },
    super::{NEWEST_SCHEMA, OLDEST_SCHEMA, RecordBody},
    crate::conf::{
        FaultKind,
        reader::{Faults, Location, ObjectReader, choice, integer_u32},
    },
    std::ops::RangeInclusive,
};

/// Largest integer that a JSON tool with double-precision numbers represents exactly.
const MAX_COUNT: u64 = (1 << 53) - 1;
/// Range of a count that must not be zero.
const NONZERO_COUNT: RangeInclusive<u64> = 1..=MAX_COUNT;

#[derive(Debug, Clone, Copy)]
enum Kind {
    Route,
    Account,
    Target,
    Policy,
}

const KINDS: [(&str, Kind); 4] = [
    ("route", Kind::Route),
    ("account", Kind::Account),
    ("target", Kind::Target),
    ("policy", Kind::Policy),
];

/// Reads `{ schema, kind, spec }`. With an unknown schema no other fault is reported, since its
/// fields may have any meaning.
pub(crate) fn read_record(location: &Location<'_>, faults: &mut Faults) -> Option<RecordBody> {
    let mut object = ObjectReader::open(location, faults)?;
    let schema = object.required("schema", "2", faults, integer_u32(0..=u32::MAX));
    if let Some(found) = schema.filter(|it| !(OLDEST_SCHEMA..=NEWEST_SCHEMA).contains(it)) {
        faults.add(location, FaultKind::UnknownSchema { found });
        return None;
    }
    let kind = object.required("kind", "\"route\"", faults, |at, faults| {
        choice(at, &KINDS, faults)
    });
    let body = object.required("spec", "{ … }", faults, |at, faults| {
        read_spec(at, schema?, kind?, faults)
    });
    object.finish(faults);
    body
}

fn read_spec(
    location: &Location<'_>,
    schema: u32,
    kind: Kind,
    faults: &mut Faults,
) -> Option<RecordBody> {
    match kind {
        Kind::Route if schema == 1 => read_route_v1(location, faults).map(RecordBody::Route),
        Kind::Route => read_route_v2(location, faults).map(RecordBody::Route),
        Kind::Account => read_account(location, faults).map(RecordBody::Account),
        Kind::Target => read_target(location, faults).map(RecordBody::Target),
        Kind::Policy => read_policy(location, faults).map(RecordBody::Policy),
    }
}
