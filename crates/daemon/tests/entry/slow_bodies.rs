//! Callers that send a body slowly.

use {
    super::{
        fixture::target,
        paused_fleet::{Fleet, Published},
    },
    std::time::Duration,
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, HOST, KEY,
        names::{DEADLINE_HEADER, REQUEST_ID_HEADER},
    },
};

/// Time for which the caller waits, in ms.
const DEADLINE_MS: u64 = 6_000;
/// Time between two bytes of its body, in ms: short enough for each.
const PAUSE_MS: u64 = 1_900;
/// Bytes that it sends, the last one after its deadline.
const BYTES: u64 = 1 + DEADLINE_MS / PAUSE_MS;
/// Longest wait for the answer; a bound against hanging.
const PATIENCE: Duration = Duration::from_mins(1);

/// Guards against a request that occupies a connection, and an instance that leaves, for as long as a caller likes: each
/// byte of its body comes in time, and the whole never does.
#[async_std::test]
async fn a_body_that_is_not_complete_at_the_deadline_is_refused() {
    let plain = target("p-1", Behaviour::Echo);
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    let address = fleet.entries[0].settings().caller_address;
    let mut caller = Caller::try_connect(address, PATIENCE).unwrap();
    caller.write(&format!(
        "POST {CALL_PREFIX}print HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID_HEADER}: 1\r\n\
         Authorization: Token {KEY}\r\n{DEADLINE_HEADER}: {DEADLINE_MS}\r\nContent-Length: 10\r\n\r\n"
    ));

    for _ in 0..BYTES {
        caller.write("x");
        fleet.advance(PAUSE_MS).await;
    }

    assert_eq!(caller.read().map(|answer| answer.status), Some(408));
    assert!(plain.arrivals().is_empty());
}
