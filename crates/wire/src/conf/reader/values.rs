//! Readers of single values. Each reports what it can't read and returns `None`.

use {
    super::{Faults, NodeValue, Place, units},
    crate::conf::fault::FaultKind,
    std::{net::SocketAddr, ops::RangeInclusive},
};

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Signs that mean nothing of their own in a header or in the path of a URL.
const PLAIN_SIGNS: &[u8] = b"-._~@:+";

/// Reads a text.
pub(crate) fn text<'n>(place: &Place<'n>, faults: &mut Faults) -> Option<&'n str> {
    match &place.node.value {
        NodeValue::Text(text) => Some(text),
        other => wrong_type(place, other, "a text in double quotes", faults),
    }
}

/// Reads a name: not empty, short enough for a header and a log line, no control characters.
pub(crate) fn name<T: for<'t> From<&'t str>>(place: &Place<'_>, faults: &mut Faults) -> Option<T> {
    let text = text(place, faults)?;
    if text.trim().is_empty() {
        faults.add(place, FaultKind::Empty { expected: "a name" });
        return None;
    }
    if text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        let expected =
            format!("a name of at most {MAX_NAME_BYTES} bytes without control characters");
        faults.add(
            place,
            FaultKind::BadText {
                found: units::shown(text),
                expected,
            },
        );
        return None;
    }
    Some(T::from(text))
}

/// Reads a name that travels in a header or in the path of a URL, where other characters would
/// be refused or mean something else: no caller could ever state such a name.
pub(crate) fn plain_name<T: for<'t> From<&'t str>>(
    place: &Place<'_>,
    faults: &mut Faults,
) -> Option<T> {
    let read = name::<T>(place, faults)?;
    let text = text(place, faults)?;
    if text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || PLAIN_SIGNS.contains(&byte))
    {
        return Some(read);
    }
    let expected = "a name of ASCII letters, digits and the signs -._~@:+".to_owned();
    faults.add(
        place,
        FaultKind::BadText {
            found: units::shown(text),
            expected,
        },
    );
    None
}

/// Reads a text that is never repeated in a message.
pub(crate) fn secret(place: &Place<'_>, faults: &mut Faults) -> Option<String> {
    let text = text(place, faults)?;
    if text.trim().is_empty() {
        faults.add(
            place,
            FaultKind::Empty {
                expected: "a key that all daemons share",
            },
        );
        return None;
    }
    Some(text.to_owned())
}

/// Reads true or false.
pub(crate) fn flag(place: &Place<'_>, faults: &mut Faults) -> Option<bool> {
    match &place.node.value {
        NodeValue::Flag(flag) => Some(*flag),
        other => wrong_type(place, other, "true or false", faults),
    }
}

/// Reads one of the texts of a closed set.
pub(crate) fn choice<T: Copy>(
    place: &Place<'_>,
    choices: &[(&'static str, T)],
    faults: &mut Faults,
) -> Option<T> {
    let text = text(place, faults)?;
    let chosen = choices.iter().find(|(name, _)| *name == text);
    if chosen.is_none() {
        let names: Vec<_> = choices
            .iter()
            .map(|(name, _)| format!("{name:?}"))
            .collect();
        let expected = names.join(" or ");
        faults.add(
            place,
            FaultKind::BadText {
                found: units::shown(text),
                expected,
            },
        );
    }
    chosen.map(|(_, value)| *value)
}

/// Reads a whole number within bounds.
pub(crate) fn whole(
    bounds: RangeInclusive<u64>,
) -> impl Fn(&Place<'_>, &mut Faults) -> Option<u64> {
    move |place, faults| {
        let expected = whole_number(place, &bounds);
        let number = match &place.node.value {
            NodeValue::Number(number) => number,
            other => return not_a_number(place, other, &expected, faults),
        };
        let accepted = number.as_u64().filter(|value| bounds.contains(value));
        if accepted.is_none() {
            faults.add(
                place,
                FaultKind::OutOfRange {
                    found: number.to_string(),
                    expected,
                },
            );
        }
        accepted
    }
}

/// Reads a whole number within bounds that lie in 32 bits.
pub(crate) fn whole_u32(
    bounds: RangeInclusive<u32>,
) -> impl Fn(&Place<'_>, &mut Faults) -> Option<u32> {
    let read = whole(u64::from(*bounds.start())..=u64::from(*bounds.end()));
    move |place, faults| read(place, faults).and_then(|value| u32::try_from(value).ok())
}

/// Reads a number within bounds.
pub(crate) fn number(
    bounds: RangeInclusive<f64>,
) -> impl Fn(&Place<'_>, &mut Faults) -> Option<f64> {
    move |place, faults| {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        read_number(place, |value| bounds.contains(&value), &expected, faults)
    }
}

/// Reads a number above 0.
pub(crate) fn positive(place: &Place<'_>, faults: &mut Faults) -> Option<f64> {
    read_number(
        place,
        |value| value.is_finite() && value > 0.0,
        "a number above 0",
        faults,
    )
}

/// Reads an IP address with a port that others can connect to. Port 0 is refused unless
/// `any_port`: a process that listens there is given a free port.
pub(crate) fn reachable_address(
    any_port: bool,
) -> impl Fn(&Place<'_>, &mut Faults) -> Option<SocketAddr> {
    move |place, faults| {
        let text = text(place, faults)?;
        let Ok(address) = text.parse::<SocketAddr>() else {
            faults.add(
                place,
                FaultKind::BadAddress {
                    found: units::shown(text),
                },
            );
            return None;
        };
        if address.ip().is_unspecified() || (address.port() == 0 && !any_port) {
            faults.add(
                place,
                FaultKind::Unreachable {
                    found: address.to_string(),
                },
            );
            return None;
        }
        Some(address)
    }
}

/// Reads a list, each item by `read`. Faulty items are reported and left out, so that the others
/// can still be checked against each other.
pub(crate) fn list<'n, T>(
    read: impl Fn(&Place<'n>, &mut Faults) -> Option<T>,
) -> impl Fn(&Place<'n>, &mut Faults) -> Option<Vec<T>> {
    move |place, faults| {
        let items = match &place.node.value {
            NodeValue::List(items) => items,
            other => return wrong_type(place, other, "a list in brackets", faults),
        };
        let places = items.iter().enumerate().map(|(index, node)| {
            let path = place.path_at(index);
            Place { path, node }
        });
        Some(places.filter_map(|item| read(&item, faults)).collect())
    }
}

fn read_number(
    place: &Place<'_>,
    accepts: impl Fn(f64) -> bool,
    expected: &str,
    faults: &mut Faults,
) -> Option<f64> {
    let number = match &place.node.value {
        NodeValue::Number(number) => number,
        other => return not_a_number(place, other, expected, faults),
    };
    let accepted = number.as_f64().filter(|value| accepts(*value));
    if accepted.is_none() {
        let expected = expected.to_owned();
        faults.add(
            place,
            FaultKind::OutOfRange {
                found: number.to_string(),
                expected,
            },
        );
    }
    accepted
}

fn whole_number(place: &Place<'_>, bounds: &RangeInclusive<u64>) -> String {
    let (start, end) = (bounds.start(), bounds.end());
    match units::unit_of(place.field_name()) {
        Some(unit) => format!("a whole number of {unit} from {start} to {end}"),
        None => format!("a whole number from {start} to {end}"),
    }
}

/// Reports a value that stands where a number belongs. A text gets the number that it states.
fn not_a_number<T>(
    place: &Place<'_>,
    value: &NodeValue,
    expected: &str,
    faults: &mut Faults,
) -> Option<T> {
    let NodeValue::Text(text) = value else {
        return wrong_type(place, value, expected, faults);
    };
    let field = place.field_name();
    let found = units::shown(text);
    let unit = units::unit_of(field);
    let plain = units::plain_value(text, field);
    faults.add(place, FaultKind::WrongUnit { found, unit, plain });
    None
}

fn wrong_type<T>(
    place: &Place<'_>,
    value: &NodeValue,
    expected: &str,
    faults: &mut Faults,
) -> Option<T> {
    let found = value.type_name();
    faults.add(
        place,
        FaultKind::WrongType {
            found,
            expected: expected.to_owned(),
        },
    );
    None
}
