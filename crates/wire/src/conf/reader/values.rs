//! Readers for single values. Each returns `None` and reports a fault if the value is not accepted.

use {
    super::{Faults, Location, NodeValue, units},
    crate::conf::fault::FaultKind,
    std::{net::SocketAddr, ops::RangeInclusive},
};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Symbols without a special meaning in a header value or in a segment of a URL's path.
const URL_SAFE_SYMBOLS: &[u8] = b"-._~@:+";

/// Reads a string.
pub(crate) fn string<'n>(location: &Location<'n>, faults: &mut Faults) -> Option<&'n str> {
    match &location.node.value {
        NodeValue::String(text) => Some(text),
        other => report_wrong_type(location, other, "a string in double quotes", faults),
    }
}

/// Reads a name: not blank, at most [`MAX_NAME_BYTES`] long so that it fits in a header and a log
/// line, and without control characters.
pub(crate) fn name<T: for<'t> From<&'t str>>(
    location: &Location<'_>,
    faults: &mut Faults,
) -> Option<T> {
    let text = string(location, faults)?;
    if text.trim().is_empty() {
        faults.add(location, FaultKind::Empty { expected: "a name" });
        return None;
    }
    if text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        let expected =
            format!("a name of at most {MAX_NAME_BYTES} bytes without control characters");
        faults.add(
            location,
            FaultKind::InvalidString {
                found: units::truncate(text),
                expected,
            },
        );
        return None;
    }
    Some(T::from(text))
}

/// Reads a name that callers send in a header or in the path of a URL. Other characters would be
/// rejected there or have a special meaning, so that no caller could use the name.
pub(crate) fn url_safe_name<T: for<'t> From<&'t str>>(
    location: &Location<'_>,
    faults: &mut Faults,
) -> Option<T> {
    let read = name::<T>(location, faults)?;
    let text = string(location, faults)?;
    if text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || URL_SAFE_SYMBOLS.contains(&byte))
    {
        return Some(read);
    }
    let expected = "a name of ASCII letters, digits and the characters -._~@:+".to_owned();
    faults.add(
        location,
        FaultKind::InvalidString {
            found: units::truncate(text),
            expected,
        },
    );
    None
}

/// Reads a string that must not be blank and that no fault message quotes.
pub(crate) fn secret(location: &Location<'_>, faults: &mut Faults) -> Option<String> {
    let text = string(location, faults)?;
    if text.trim().is_empty() {
        faults.add(
            location,
            FaultKind::Empty {
                expected: "a key that all daemons share",
            },
        );
        return None;
    }
    Some(text.to_owned())
}

/// Reads true or false.
pub(crate) fn boolean(location: &Location<'_>, faults: &mut Faults) -> Option<bool> {
    match &location.node.value {
        NodeValue::Bool(flag) => Some(*flag),
        other => report_wrong_type(location, other, "true or false", faults),
    }
}

/// Reads a string that must be one of `choices` and returns the value assigned to it.
pub(crate) fn choice<T: Copy>(
    location: &Location<'_>,
    choices: &[(&'static str, T)],
    faults: &mut Faults,
) -> Option<T> {
    let text = string(location, faults)?;
    let chosen = choices.iter().find(|(name, _)| *name == text);
    if chosen.is_none() {
        let names: Vec<_> = choices
            .iter()
            .map(|(name, _)| format!("{name:?}"))
            .collect();
        let expected = names.join(" or ");
        faults.add(
            location,
            FaultKind::InvalidString {
                found: units::truncate(text),
                expected,
            },
        );
    }
    chosen.map(|(_, value)| *value)
}

/// Reads an integer within `bounds`.
pub(crate) fn integer(
    bounds: RangeInclusive<u64>,
) -> impl Fn(&Location<'_>, &mut Faults) -> Option<u64> {
    move |location, faults| {
        let expected = describe_integer(location, &bounds);
        let number = match &location.node.value {
            NodeValue::Number(number) => number,
            other => return report_not_a_number(location, other, &expected, faults),
        };
        let accepted = number.as_u64().filter(|value| bounds.contains(value));
        if accepted.is_none() {
            faults.add(
                location,
                FaultKind::OutOfRange {
                    found: number.to_string(),
                    expected,
                },
            );
        }
        accepted
    }
}

/// Reads an integer within `bounds` as 32 bits.
pub(crate) fn integer_u32(
    bounds: RangeInclusive<u32>,
) -> impl Fn(&Location<'_>, &mut Faults) -> Option<u32> {
    let read = integer(u64::from(*bounds.start())..=u64::from(*bounds.end()));
    move |location, faults| read(location, faults).and_then(|value| u32::try_from(value).ok())
}

/// Reads a number, not necessarily an integer, within `bounds`.
pub(crate) fn number(
    bounds: RangeInclusive<f64>,
) -> impl Fn(&Location<'_>, &mut Faults) -> Option<f64> {
    move |location, faults| {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        read_number(location, |value| bounds.contains(&value), &expected, faults)
    }
}

/// Reads a finite number above 0.
pub(crate) fn positive_number(location: &Location<'_>, faults: &mut Faults) -> Option<f64> {
    read_number(
        location,
        |value| value.is_finite() && value > 0.0,
        "a number above 0",
        faults,
    )
}

/// Reads an IP address with a port to which other hosts can connect. Port 0 is accepted only with
/// `any_port`, for a listener that gets a free port from the operating system.
pub(crate) fn reachable_address(
    any_port: bool,
) -> impl Fn(&Location<'_>, &mut Faults) -> Option<SocketAddr> {
    move |location, faults| {
        let text = string(location, faults)?;
        let Ok(address) = text.parse::<SocketAddr>() else {
            faults.add(
                location,
                FaultKind::BadAddress {
                    found: units::truncate(text),
                },
            );
            return None;
        };
        if address.ip().is_unspecified() || (address.port() == 0 && !any_port) {
            faults.add(
                location,
                FaultKind::Unreachable {
                    found: address.to_string(),
                },
            );
            return None;
        }
        Some(address)
    }
}

/// Reads a list, each item with `read`. Faulty items are reported and omitted, so that the others
/// can still be compared with each other.
pub(crate) fn list<'n, T>(
    read: impl Fn(&Location<'n>, &mut Faults) -> Option<T>,
) -> impl Fn(&Location<'n>, &mut Faults) -> Option<Vec<T>> {
    move |location, faults| {
        let items = match &location.node.value {
            NodeValue::List(items) => items,
            other => return report_wrong_type(location, other, "a list in brackets", faults),
        };
        let locations = items.iter().enumerate().map(|(index, node)| {
            let path = location.item_path(index);
            Location { path, node }
        });
        Some(locations.filter_map(|item| read(&item, faults)).collect())
    }
}

fn read_number(
    location: &Location<'_>,
    accepts: impl Fn(f64) -> bool,
    expected: &str,
    faults: &mut Faults,
) -> Option<f64> {
    let number = match &location.node.value {
        NodeValue::Number(number) => number,
        other => return report_not_a_number(location, other, expected, faults),
    };
    let accepted = number.as_f64().filter(|value| accepts(*value));
    if accepted.is_none() {
        let expected = expected.to_owned();
        faults.add(
            location,
            FaultKind::OutOfRange {
                found: number.to_string(),
                expected,
            },
        );
    }
    accepted
}

fn describe_integer(location: &Location<'_>, bounds: &RangeInclusive<u64>) -> String {
    let (start, end) = (bounds.start(), bounds.end());
    match units::unit_of(location.field_name()) {
        Some(unit) => format!("a whole number of {unit} from {start} to {end}"),
        None => format!("a whole number from {start} to {end}"),
    }
}

/// Reports a value that should be a number. For a string such as `5s` the fault suggests the
/// number in the unit of the field.
fn report_not_a_number<T>(
    location: &Location<'_>,
    value: &NodeValue,
    expected: &str,
    faults: &mut Faults,
) -> Option<T> {
    let NodeValue::String(text) = value else {
        return report_wrong_type(location, value, expected, faults);
    };
    let field = location.field_name();
    let found = units::truncate(text);
    let unit = units::unit_of(field);
    let converted = units::convert_to_field_unit(text, field);
    faults.add(
        location,
        FaultKind::WrongUnit {
            found,
            unit,
            converted,
        },
    );
    None
}

fn report_wrong_type<T>(
    location: &Location<'_>,
    value: &NodeValue,
    expected: &str,
    faults: &mut Faults,
) -> Option<T> {
    let found = value.type_name();
    faults.add(
        location,
        FaultKind::WrongType {
            found,
            expected: expected.to_owned(),
        },
    );
    None
}
