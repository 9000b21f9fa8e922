//! Which targets this instance and its peers reach, as opposed to which targets serve.

mod unconfirmed_failures;

pub use unconfirmed_failures::UnconfirmedFailures;
