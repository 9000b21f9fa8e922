use {
    super::{
        fault::{ConfFault, FaultKind},
        reader::{Faults, ObjectReader, Place, Placed, list, name, parse_jsonc},
    },
    crate::{
        ids::RecordKey,
        platform::MAX_VALUE_BYTES,
        record::{RecordBody, read_record},
    },
};

/// One record of a file that is kept in version control.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordEntry {
    /// Key under which it is published.
    pub key: RecordKey,
    /// The value to publish: JSON without comments.
    pub value: String,
    /// The value as the daemons will understand it.
    pub body: RecordBody,
}

/// Reads a record file: JSON with comments that holds a list of
/// `{ "key": …, "value": { "schema": …, "kind": …, "spec": … } }`.
///
/// # Errors
/// All faults, by line. A syntax error hides what comes after it and stands alone.
pub fn check_records(text: &str) -> Result<Vec<RecordEntry>, Vec<ConfFault>> {
    let node = parse_jsonc(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let entries = list(read_entry)(&Place::root(&node), &mut faults);
    check_doubles(entries.as_deref().unwrap_or_default(), &mut faults);
    let entries = entries.map(|list| list.into_iter().map(|entry| entry.value).collect());
    faults.into_result(entries)
}

fn read_entry(place: &Place<'_>, faults: &mut Faults) -> Option<Placed<RecordEntry>> {
    let mut object = ObjectReader::open(place, faults)?;
    let key = object.required("key", "\"routes/assistant\"", faults, name);
    let example = "{ \"schema\": 2, \"kind\": \"route\", \"spec\": { … } }";
    let read = object.required("value", example, faults, read_value);
    object.close(faults);
    let (value, body) = read?;
    Some(place.with(RecordEntry {
        key: key?,
        value,
        body,
    }))
}

fn read_value(place: &Place<'_>, faults: &mut Faults) -> Option<(String, RecordBody)> {
    let body = read_record(place, faults)?;
    let value = place.node.to_json().to_string();
    if value.len() > MAX_VALUE_BYTES {
        let found = format!("{} bytes", value.len());
        let expected = format!("a value of at most {MAX_VALUE_BYTES} bytes");
        faults.add(place, FaultKind::OutOfRange { found, expected });
        return None;
    }
    Some((value, body))
}

/// Reports keys that stand twice, of which only one would be published, and two targets at one
/// address, of which one would get the other's work.
fn check_doubles(entries: &[Placed<RecordEntry>], faults: &mut Faults) {
    for (index, entry) in entries.iter().enumerate() {
        let earlier = &entries[..index];
        if let Some(first) = earlier.iter().find(|it| it.value.key == entry.value.key) {
            report(
                entry,
                ".key",
                format!("the key {}", entry.value.key),
                first.line,
                faults,
            );
        }
        if let Some(first) = earlier
            .iter()
            .find(|it| share_address(&it.value, &entry.value))
        {
            let what = format!("the address of `{}`", first.value.key);
            report(entry, ".value.spec.address", what, first.line, faults);
        }
    }
}

fn share_address(left: &RecordEntry, right: &RecordEntry) -> bool {
    match (&left.body, &right.body) {
        (RecordBody::Target(left), RecordBody::Target(right)) => {
            left.address == right.address && left.target != right.target
        }
        _ => false,
    }
}

fn report(
    entry: &Placed<RecordEntry>,
    field: &str,
    what: String,
    first_line: usize,
    faults: &mut Faults,
) {
    let path = format!("{}{field}", entry.path);
    faults.add_at(entry.line, path, FaultKind::Twice { what, first_line });
}
