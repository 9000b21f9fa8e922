use {
    super::{
        fault::{ConfFault, FaultKind},
        reader::{Faults, Located, Location, ObjectReader, list, name, parse_jsonc},
    },
    crate::{
        ids::RecordKey,
        platform::MAX_VALUE_BYTES,
        record::{RecordBody, read_record},
    },
};

/// One record of a record file, which operators keep in version control.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordEntry {
    /// Key under which the record is published.
    pub key: RecordKey,
    /// Value to publish, as JSON without comments.
    pub value: String,
    /// Result of parsing `value`, the same as in a daemon that receives it.
    pub body: RecordBody,
}

/// Parses and checks a record file: JSON with comments that contains a list of
/// `{ "key": …, "value": { "schema": …, "kind": …, "spec": … } }`.
///
/// # Errors
/// All faults, ordered by line. A syntax error is reported alone, since the rest of the file can't
/// be parsed.
pub fn check_records(text: &str) -> Result<Vec<RecordEntry>, Vec<ConfFault>> {
    let node = parse_jsonc(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let entries = list(read_entry)(&Location::root(&node), &mut faults);
    check_duplicates(entries.as_deref().unwrap_or_default(), &mut faults);
    let entries = entries.map(|list| list.into_iter().map(|entry| entry.value).collect());
    faults.into_result(entries)
}

fn read_entry(location: &Location<'_>, faults: &mut Faults) -> Option<Located<RecordEntry>> {
    let mut object = ObjectReader::open(location, faults)?;
    let key = object.required("key", "\"routes/assistant\"", faults, name);
    let example = "{ \"schema\": 2, \"kind\": \"route\", \"spec\": { … } }";
    let read = object.required("value", example, faults, read_value);
    object.finish(faults);
    let (value, body) = read?;
    Some(location.locate(RecordEntry {
        key: key?,
        value,
        body,
    }))
}

fn read_value(location: &Location<'_>, faults: &mut Faults) -> Option<(String, RecordBody)> {
    let body = read_record(location, faults)?;
    let value = location.node.to_json().to_string();
    if value.len() > MAX_VALUE_BYTES {
        let found = format!("{} bytes", value.len());
        let expected = format!("a value of at most {MAX_VALUE_BYTES} bytes");
        faults.add(location, FaultKind::OutOfRange { found, expected });
        return None;
    }
    Some((value, body))
}

/// Reports duplicate keys, of which only one would be published, and different targets with the
/// same address, of which one would receive the other's requests.
fn check_duplicates(entries: &[Located<RecordEntry>], faults: &mut Faults) {
    for (index, entry) in entries.iter().enumerate() {
        let earlier = &entries[..index];
        if let Some(first) = earlier.iter().find(|it| it.value.key == entry.value.key) {
            report_duplicate(
                entry,
                ".key",
                format!("the key {}", entry.value.key),
                first.line,
                faults,
            );
        }
        if let Some(first) = earlier
            .iter()
            .find(|it| have_same_address(&it.value, &entry.value))
        {
            let what = format!("the address of `{}`", first.value.key);
            report_duplicate(entry, ".value.spec.address", what, first.line, faults);
        }
    }
}

fn have_same_address(left: &RecordEntry, right: &RecordEntry) -> bool {
    match (&left.body, &right.body) {
        (RecordBody::Target(left), RecordBody::Target(right)) => {
            left.address == right.address && left.target != right.target
        }
        _ => false,
    }
}

fn report_duplicate(
    entry: &Located<RecordEntry>,
    field: &str,
    what: String,
    first_line: usize,
    faults: &mut Faults,
) {
    let path = format!("{}{field}", entry.path);
    faults.add_at(entry.line, path, FaultKind::Duplicate { what, first_line });
}
