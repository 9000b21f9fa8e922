//! Ids and names of published things, each with a type of its own.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, ops::Deref, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Defines a name type that is cheap to clone.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }
    };
}

name! {
    /// Id of one run of a target. A restarted target that states its start time has a new one.
    TargetId
}
name! {
    /// Name under which a target is published. A restarted target may keep it.
    TargetName
}
name! {
    /// Name of a service, a set of interchangeable targets.
    ServiceName
}
name! {
    /// Name of a client account, as the configuration has it.
    AccountName
}
name! {
    /// Name of a failure domain, as instances and targets state it.
    FailureDomain
}

/// Id of a part of a prompt. Prompts that begin alike share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:x}", self.0)
    }
}

/// The parts of a prompt that other prompts may share.
pub type SharedParts = Arc<[PartId]>;

/// Short id of a client account, which frames between instances carry in place of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AccountId(u64);

impl AccountId {
    /// The id of requests on routes that need no key. They share one account.
    pub const NONE: Self = Self(0);

    /// Returns the id of the account with this name.
    pub fn of(name: Option<&AccountName>) -> Self {
        name.map_or(Self::NONE, |name| Self(xxh3_64(name.as_bytes())))
    }
}
