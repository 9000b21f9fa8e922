//! Units as field names state them by their suffix.

/// Longest part of a refused text that is told.
const SHOWN_CHARS: usize = 60;
/// Fewest letters of a name in which two wrong letters are taken for a slip.
const LONG_NAME: usize = 5;

/// Suffixes that state a unit, longest first, and the unit's name where fields here use it.
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

/// Units in which people write times and sizes, with their count of the field's unit.
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
const SIZES_IN_BYTES: [(&str, u64); 7] = [
    ("b", 1),
    ("kb", 1_000),
    ("mb", 1_000_000),
    ("gb", 1_000_000_000),
    ("kib", 1_024),
    ("mib", 1_048_576),
    ("gib", 1_073_741_824),
];

/// Unit that the name of a field states, if it does.
pub(super) fn unit_of(field: &str) -> Option<&'static str> {
    SUFFIXES
        .iter()
        .find(|(suffix, _)| field.ends_with(suffix))
        .and_then(|(_, unit)| *unit)
}

/// The value of a text such as `5s` in the unit of `field`.
pub(super) fn plain_value(text: &str, field: &str) -> Option<u64> {
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

/// Whether `written` is probably a slip for `known`: another unit or up to two wrong letters.
pub(super) fn similar(written: &str, known: &str) -> bool {
    let allowed = if known.len() >= LONG_NAME { 2 } else { 1 };
    stem(written) == stem(known) || distance(written, known) <= allowed
}

fn stem(name: &str) -> &str {
    SUFFIXES
        .iter()
        .find_map(|(suffix, _)| name.strip_suffix(suffix))
        .unwrap_or(name)
}

/// Letters to add, drop or change to make one name of the other.
fn distance(left: &str, right: &str) -> usize {
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

/// A text cut to a length fit for a line.
pub(super) fn shown(text: &str) -> String {
    text.chars().take(SHOWN_CHARS).collect()
}
