//! Waiting for conditions.

use {
    async_std::task,
    std::time::{Duration, Instant},
};

/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a test that waits for a condition fails. It isn't a bound on speed.
const HANG_GUARD: Duration = Duration::from_mins(2);

/// Waits until a condition is true. Fails the test after [`HANG_GUARD`]; `what` names the condition.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < HANG_GUARD,
            "timed out waiting for: {what}"
        );
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a point in time has passed, such as a deadline.
pub async fn until_past(moment: Instant) {
    until("a point in time", async || Instant::now() > moment).await;
}
