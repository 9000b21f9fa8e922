//! Identifiers, each kind with a type of its own so that they can't be confused.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
    thiserror::Error,
};

/// The error for a string that is not a valid identifier of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a valid {what}: write {expected}")]
pub struct BadId {
    /// Expected kind of identifier.
    pub what: &'static str,
    /// The string as received, truncated for display.
    pub text: String,
    /// Description of the accepted form.
    pub expected: &'static str,
}

/// Maximum length of the quoted string in a [`BadId`], in characters.
const MAX_SHOWN_CHARS: usize = 40;

fn bad_id(what: &'static str, text: &str, expected: &'static str) -> BadId {
    BadId {
        what,
        text: text.chars().take(MAX_SHOWN_CHARS).collect(),
        expected,
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name with a copy of `text`; any string is accepted.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a client account.
    AccountName
);
name_type!(
    /// The name of a caller within a client account, such as one of its applications.
    CallerName
);
name_type!(
    /// The name of a target: a model engine or a plain service.
    TargetName
);
name_type!(
    /// The name of an instance on which a daemon runs.
    InstanceName
);
name_type!(
    /// The name of a failure domain, whose instances and targets may fail together.
    FailureDomain
);
name_type!(
    /// The name of a model as callers request it.
    ModelName
);
name_type!(
    /// The name of an adapter of a model.
    AdapterName
);
name_type!(
    /// The name of a model provider, such as `old` or `new`.
    ProviderName
);
name_type!(
    /// The name of a plain service as callers request it.
    ServiceName
);
name_type!(
    /// The key of a configuration record, unique in the platform's configuration service.
    RecordKey
);

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{}({:032x})", stringify!($name), self.0)
            }
        }

        impl FromStr for $name {
            type Err = BadId;

            fn from_str(text: &str) -> Result<Self, BadId> {
                const EXPECTED: &str = "32 hexadecimal digits";
                if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(bad_id($what, text, EXPECTED));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_bad_digits| bad_id($what, text, EXPECTED))
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    serializer.serialize_bytes(&self.0.to_be_bytes())
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_any(HexOrBytes($what)).map(Self)
            }
        }
    };
}

/// Decodes a 128-bit number from 32 hexadecimal digits or from sixteen bytes in big-endian order.
struct HexOrBytes(&'static str);

impl serde::de::Visitor<'_> for HexOrBytes {
    type Value = u128;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} as 32 hexadecimal digits or sixteen bytes", self.0)
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<u128, E> {
        text.parse::<Incarnation>()
            .map(|parsed| parsed.0)
            .map_err(|_bad_digits| E::invalid_value(serde::de::Unexpected::Str(text), &self))
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<u128, E> {
        let array: [u8; 16] = bytes
            .try_into()
            .map_err(|_wrong_length| E::invalid_length(bytes.len(), &self))?;
        Ok(u128::from_be_bytes(array))
    }
}

hex_type!(
    /// The id of one run of a daemon or target, drawn at random when it starts and never reused.
    Incarnation,
    "incarnation"
);
hex_type!(
    /// The id of one request of a caller, as admitted by a daemon.
    RequestId,
    "request id"
);
hex_type!(
    /// The id of one attempt to run a request at a target. The target echoes it in each chunk.
    AttemptId,
    "attempt id"
);

/// A position in the platform's history of changes. Revisions only grow.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// A permission to run one non-repeatable request once. Only the daemon incarnation that issued it
/// may dispatch the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Daemon incarnation that issued the ticket and stores the outcome of its request.
    pub home: Incarnation,
    /// Number of the ticket, unique within that incarnation and never reused.
    pub number: u64,
}

const TICKET_FORM: &str = "an incarnation and a number joined by '-', as sent in the 428 response";

impl fmt::Display for Ticket {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{:016x}", self.home, self.number)
    }
}

impl FromStr for Ticket {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let (home, number) = text
            .split_once('-')
            .ok_or_else(|| bad_id("ticket", text, TICKET_FORM))?;
        let digits_only = number.len() == 16 && number.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits_only {
            return Err(bad_id("ticket", text, TICKET_FORM));
        }
        Ok(Self {
            home: home
                .parse()
                .map_err(|_bad_home| bad_id("ticket", text, TICKET_FORM))?,
            number: u64::from_str_radix(number, 16)
                .map_err(|_bad_digits| bad_id("ticket", text, TICKET_FORM))?,
        })
    }
}

impl Serialize for Ticket {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Ticket {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
