//! Waiting for events.

use {
    async_std::task,
    std::time::{Duration, Instant},
};

/// Time between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(10);
/// Ends a test that waits in vain. It says nothing about speed.
const HANG_GUARD: Duration = Duration::from_mins(2);

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < HANG_GUARD, "waited in vain: {what}");
        task::sleep(LOOK).await;
    }
}

/// Waits until a moment has passed, such as a deadline.
pub async fn until_past(moment: Instant) {
    until("a moment in time", async || Instant::now() > moment).await;
}
