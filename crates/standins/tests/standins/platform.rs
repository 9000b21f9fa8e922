//! The fake platform.

use {
    crate::support::get,
    whinlatch_standins::{Platform, PlatformOptions},
    whinlatch_wire::platform::RecordPage,
};

#[async_std::test]
async fn a_watch_waits_for_news() {
    let platform = Platform::start(PlatformOptions::default())
        .await
        .expect("a free port");
    let first = platform.publish("a", Some("1"));
    let path = format!("/v1/records?after={first}&wait_ms=60000");
    let watch = async_std::task::spawn({
        let address = platform.address();
        async move { get::<RecordPage>(address, &path).await }
    });
    while platform.stats().record_reads == 0 {
        async_std::task::yield_now().await;
    }

    let second = platform.publish("a", None);

    let page = watch.await.expect("a page");
    assert_eq!(page.revision, second);
    assert_eq!(page.records.len(), 1);
    assert_eq!(page.records[0].value, None);
}
