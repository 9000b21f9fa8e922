//! Units of fields, which the suffixes of their names state, and detection of misspelt names.

/// Maximum length of a quoted string or path in a fault message, in characters.
const MAX_SHOWN_CHARS: usize = 60;
/// Minimum length of a name, in bytes, for which two wrong letters count as a misspelling; for
/// shorter names only one does.
const MIN_LONG_NAME_BYTES: usize = 5;

/// Suffixes that state a unit, longest first, each with the name of the unit if a known field uses
/// it.
const SUFFIXES: [(&str, Option<&str>); 24] = [
    ("_milliseconds", None),
    ("_per_second", None),
    ("_per_mille", Some("thousandths")),
    ("_seconds", None),
    ("_minutes", None),
    ("_percent", Some("hundredths")),
    ("_tokens", Some("tokens")),
    ("_millis", None),
    ("_bytes", Some("bytes")),
    ("_per_s", None),
    ("_secs", None),
    ("_mins", None),
    ("_msec", None),
    ("_sec", None),
    ("_min", None),
    ("_kib", None),
    ("_mib", None),
    ("_kb", None),
    ("_mb", None),
    ("_ms", Some("milliseconds")),
    ("_us", None),
    ("_ns", None),
    ("_s", None),
    ("_h", None),
];

/// Common abbreviations of units of time, with their factor to milliseconds.
const TIMES_IN_MS: [(&str, u64); 8] = [
    ("ms", 1),
    ("s", 1_000),
    ("sec", 1_000),
    ("secs", 1_000),
    ("seconds", 1_000),
    ("m", 60_000),
    ("min", 60_000),
    ("h", 3_600_000),
];
/// Common abbreviations of units of size, with their factor to bytes.
const SIZES_IN_BYTES: [(&str, u64); 7] = [
    ("b", 1),
    ("kb", 1_000),
    ("mb", 1_000_000),
    ("gb", 1_000_000_000),
    ("kib", 1_024),
    ("mib", 1_048_576),
    ("gib", 1_073_741_824),
];

/// Returns the unit that the name of a field states, if any.
pub(super) fn unit_of(field: &str) -> Option<&'static str> {
    SUFFIXES
        .iter()
        .find(|(suffix, _)| field.ends_with(suffix))
        .and_then(|(_, unit)| *unit)
}

/// Converts a string such as `5s` to a number in the unit of `field`. Returns `None` if the string
/// can't be parsed or the units don't match.
pub(super) fn convert_to_field_unit(text: &str, field: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let unit = unit.trim().to_ascii_lowercase();
    if unit.is_empty() {
        return Some(number);
    }
    let table: &[(&str, u64)] = match unit_of(field)? {
        "milliseconds" => &TIMES_IN_MS,
        "bytes" => &SIZES_IN_BYTES,
        _ => return None,
    };
    let (_, factor) = table.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*factor)
}

/// Returns whether `written` is probably a misspelling of `known`: the same name with another unit,
/// or up to two wrong letters.
pub(super) fn is_similar(written: &str, known: &str) -> bool {
    let allowed = if known.len() >= MIN_LONG_NAME_BYTES {
        2
    } else {
        1
    };
    without_unit(written) == without_unit(known) || edit_distance(written, known) <= allowed
}

fn without_unit(name: &str) -> &str {
    SUFFIXES
        .iter()
        .find_map(|(suffix, _)| name.strip_suffix(suffix))
        .unwrap_or(name)
}

/// Returns the Levenshtein distance of two names, or `usize::MAX` if their lengths differ by more
/// than two.
fn edit_distance(left: &str, right: &str) -> usize {
    if left.len().abs_diff(right.len()) > 2 {
        return usize::MAX;
    }
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for column in 0..right.len() {
            let change = diagonal + usize::from(right[column] != letter);
            diagonal = row[column + 1];
            row[column + 1] = change.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}

/// Truncates a string for display in a fault message.
pub(super) fn truncate(text: &str) -> String {
    text.chars().take(MAX_SHOWN_CHARS).collect()
}
