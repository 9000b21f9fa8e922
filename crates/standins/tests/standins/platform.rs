use {
    crate::support::{get, spawn, wait_until},
    http_types::StatusCode,
    whinlatch_standins::{
        Platform, PlatformOptions,
        platform::{PlatformControl, PlatformMode},
    },
    whinlatch_wire::{
        ids::Revision,
        platform::{InstanceList, RecordPage},
    },
};

async fn start(options: PlatformOptions) -> Platform {
    Platform::start(options).await.expect("a free port")
}

async fn read_after(platform: &Platform, after: u64) -> Result<RecordPage, StatusCode> {
    get(platform.address(), &format!("/v1/records?after={after}")).await
}

#[async_std::test]
async fn a_watch_waits_for_a_change_and_counts_as_one_read() {
    let platform = start(PlatformOptions::default()).await;
    let first = platform.publish("a", Some("1"));
    let address = platform.address();
    let watch = spawn(async move {
        get::<RecordPage>(address, &format!("/v1/records?after={first}&wait_ms=60000")).await
    });
    wait_until(|| platform.stats().record_reads == 1).await;

    let second = platform.publish("a", None);

    let page = watch.await.expect("a page");
    assert_eq!((page.revision, page.records.len()), (second, 1));
    assert_eq!(page.records[0].value, None);
    assert_eq!(platform.stats().record_reads, 1);
}

#[async_std::test]
async fn records_are_split_into_pages() {
    let platform = start(PlatformOptions::default()).await;
    for number in 0..501 {
        platform.publish(&format!("key-{number}"), Some("1"));
    }

    let first = read_after(&platform, 0).await.expect("a page");
    let second = read_after(&platform, 500).await.expect("a page");

    assert_eq!((first.records.len(), first.more), (500, true));
    assert_eq!((second.records.len(), second.more), (1, false));
}

#[async_std::test]
async fn an_earlier_revision_can_be_served_after_an_outage() {
    let platform = start(PlatformOptions::default()).await;
    let old = platform.publish("a", Some("old"));
    platform.publish("a", Some("new"));

    platform.set_mode(PlatformMode::Down);
    let down = read_after(&platform, 0).await;
    platform.set_mode(PlatformMode::StaleAsOf(old));
    let stale = read_after(&platform, 0).await.expect("a page");
    platform.set_mode(PlatformMode::Normal);
    let current = read_after(&platform, 0).await.expect("a page");

    assert_eq!(down, Err(StatusCode::ServiceUnavailable));
    assert_eq!(stale.records[0].value.as_deref(), Some("old"));
    assert_eq!(
        (stale.revision, current.revision),
        (Revision(1), Revision(2))
    );
}

#[async_std::test]
async fn a_read_after_a_forgotten_revision_gets_410() {
    let platform = start(PlatformOptions::default()).await;
    platform.publish("a", Some("1"));
    platform.publish("a", Some("2"));
    platform.publish("b", None);

    platform.control(PlatformControl::ForgetHistory {
        drop_tombstones: true,
    });

    assert_eq!(read_after(&platform, 1).await, Err(StatusCode::Gone));
    let again = read_after(&platform, 0).await.expect("a page");
    assert_eq!(again.records.len(), 1, "the tombstone was dropped");
}

#[async_std::test]
async fn reads_over_the_budget_are_refused_and_counted() {
    let platform = start(PlatformOptions {
        reads_per_s: 1,
        ..PlatformOptions::default()
    })
    .await;

    let (first, second) = (
        read_after(&platform, 0).await,
        read_after(&platform, 0).await,
    );
    let stats = platform.stats();

    first.expect("it is within the budget");
    // On a slow machine, the reads may be more than a second apart, and both are within the budget.
    assert!(second == Err(StatusCode::TooManyRequests) || stats.refused == 0);
    assert_eq!((stats.record_reads, stats.most_reads_in_1_s), (2, 1));
}

#[async_std::test]
async fn changes_of_the_list_of_instances_are_delayed() {
    let platform = start(PlatformOptions {
        instance_lag_ms: 600_000,
        ..PlatformOptions::default()
    })
    .await;
    platform.set_instances(InstanceList::default());
    let before: InstanceList = get(platform.address(), "/v1/instances")
        .await
        .expect("a list");
    platform.control(PlatformControl::InstanceLagMs(0));

    platform.set_instances(InstanceList::default());

    let after: InstanceList = get(platform.address(), "/v1/instances")
        .await
        .expect("a list");
    assert_eq!((before.version, after.version), (0, 2));
}
