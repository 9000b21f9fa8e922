//! Names that are published, each with a type of its own.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, ops::Deref, sync::Arc},
};

/// A name that is cheap to copy.
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
    /// Name of one run of a target; a restarted target has another.
    TargetId
}
name! {
    /// Name under which a target is published; a target that starts again may keep it.
    TargetName
}
name! {
    /// Name of a service: a set of targets that serve the same.
    ServiceName
}
name! {
    /// Name of a client account.
    AccountName
}
name! {
    /// Name of a failure domain.
    FailureDomain
}
