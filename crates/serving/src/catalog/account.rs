use crate::names::AccountName;

/// A client account and the keys that its callers present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account, which is sent to targets.
    pub name: AccountName,
    /// Keys that are valid now.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 first; overrides the route's. `None` leaves the route's in place.
    pub priority: Option<u8>,
}
