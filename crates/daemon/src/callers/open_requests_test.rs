use {
    super::OpenRequests,
    crate::metrics::Metrics,
    futures::{pin_mut, poll},
    std::sync::Arc,
};

// Guards against a truncated answer when a daemon is replaced: the outcome is decided, and the daemon
// exits while the answer is still being written.
#[async_std::test]
async fn the_wait_lasts_until_the_last_answer_is_written() {
    let open = OpenRequests::new(Arc::new(Metrics::new().unwrap()));
    let (first, second) = (open.open(), open.open());
    let end = open.wait_for_end();
    pin_mut!(end);

    assert!(poll!(&mut end).is_pending());
    drop(first);
    assert!(poll!(&mut end).is_pending());
    drop(second);

    end.await;
    assert!(open.open().is_none());
}
