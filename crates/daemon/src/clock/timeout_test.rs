use {
    super::timeout,
    crate::clock::PausedClock,
    futures::{FutureExt, future, pin_mut, poll},
};

#[async_std::test]
async fn a_timeout_follows_its_clock() {
    let clock = PausedClock::default();
    let late = timeout(&clock, 100, future::pending::<()>());
    pin_mut!(late);

    assert!(poll!(&mut late).is_pending());
    clock.advance(99);
    assert!(poll!(&mut late).is_pending());
    clock.advance(1);

    assert_eq!(late.await, None);
    assert_eq!(clock.sleeping(), 0);
}

#[async_std::test]
async fn the_output_of_a_future_that_ends_in_time_is_returned() {
    let clock = PausedClock::default();

    let output = timeout(&clock, 100, future::ready(7)).now_or_never();

    assert_eq!(output, Some(Some(7)));
}
