use {
    crate::{
        shared::Shared,
        targets::{CallError, get_json},
    },
    std::sync::Arc,
    whinlatch_core::PlatformEvent,
    whinlatch_wire::{
        ids::Revision,
        platform::{INSTANCES_PATH, InstanceList, RECORDS_PATH, RecordPage},
    },
};

/// Time for an answer in addition to the requested wait, in ms.
const READ_TIMEOUT_MS: u64 = 5_000;
/// Largest answer that is read, in bytes; enough for all records of a large fleet in one page.
const MAX_PAGE_BYTES: u64 = 256 * 1_048_576;
/// HTTP status for a revision whose history the platform no longer has.
const HISTORY_GONE: u16 = 410;

/// Reads the records after a revision and reports them to the core. The platform holds its answer
/// for up to `wait_ms` until there is a newer record.
pub async fn read_records(shared: Arc<Shared>, after: Revision, wait_ms: u64) {
    let path = format!("{RECORDS_PATH}?after={after}&wait_ms={wait_ms}");
    let address = shared.settings.platform_address;
    let timeout_ms = wait_ms + READ_TIMEOUT_MS;
    let read = get_json::<RecordPage>(&shared, address, &path, timeout_ms, MAX_PAGE_BYTES).await;
    let (event, result) = match read {
        Ok(page) => (PlatformEvent::Records(page), "ok"),
        Err(CallError::Status(HISTORY_GONE)) => (PlatformEvent::HistoryGone, "gone"),
        Err(_failed) => (PlatformEvent::RecordsFailed, "failed"),
    };
    shared.metrics.record_platform_read("records", result);
    shared.control.report_platform(event).await;
}

/// Reads the list of instances and reports it to the core.
pub async fn read_instances(shared: Arc<Shared>) {
    let address = shared.settings.platform_address;
    let limit = (READ_TIMEOUT_MS, MAX_PAGE_BYTES);
    let read = get_json::<InstanceList>(&shared, address, INSTANCES_PATH, limit.0, limit.1).await;
    let (event, result) = match read {
        Ok(list) => (PlatformEvent::Instances(list), "ok"),
        Err(_failed) => (PlatformEvent::InstancesFailed, "failed"),
    };
    shared.metrics.record_platform_read("instances", result);
    shared.control.report_platform(event).await;
}
