use {
    super::Clock,
    futures::{
        future::{Either, select},
        pin_mut,
    },
};

/// Waits for `future` for at most `ms` of `clock`. Returns `None` and drops the future if it takes
/// longer.
pub async fn timeout<F: Future>(clock: &dyn Clock, ms: u64, future: F) -> Option<F::Output> {
    pin_mut!(future);
    match select(future, clock.sleep(ms)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}

#[cfg(test)]
#[path = "timeout_test.rs"]
mod tests;
