use {
    super::OpenRequests,
    crate::metrics::Metrics,
    futures::{pin_mut, poll},
    std::sync::Arc,
};

// A reply loses its last words when a daemon is replaced.
// The daemon has decided how the request ends and leaves while the answer is written.
// Cause: the end of a request is taken for the end of its answer.
#[async_std::test]
async fn the_end_is_awaited_until_the_last_answer_is_written() {
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
