use {
    crate::support::get,
    async_std::{
        io::{ReadExt, WriteExt},
        net::TcpStream,
    },
    futures::FutureExt,
    http_types::StatusCode,
    whinlatch_standins::{
        Platform, PlatformOptions, Relay, RelayOptions, platform::PlatformStats, relay::RelayMode,
    },
};

const REQUEST: &[u8] = b"GET /standin/stats HTTP/1.1\r\nhost: x\r\n\r\n";

async fn relayed_platform() -> (Platform, Relay) {
    let platform = Platform::start(PlatformOptions::default())
        .await
        .expect("a free port");
    let options = RelayOptions {
        to: platform.address(),
        ..RelayOptions::default()
    };
    let relay = Relay::start(options).await.expect("a free port");
    (platform, relay)
}

#[async_std::test]
async fn a_cut_drops_open_connections_until_the_mode_changes() {
    let (_platform, relay) = relayed_platform().await;
    let mut open = TcpStream::connect(relay.address()).await.expect("a relay");
    open.write_all(REQUEST).await.expect("it passes");
    open.read_exact(&mut [0; 4]).await.expect("an answer");

    relay.set_mode(RelayMode::Cut);

    let mut rest = Vec::new();
    let _ended_or_reset = open.read_to_end(&mut rest).await;
    let cut: Result<PlatformStats, StatusCode> = get(relay.address(), "/standin/stats").await;
    relay.set_mode(RelayMode::Pass);
    let restored: Result<PlatformStats, StatusCode> = get(relay.address(), "/standin/stats").await;
    cut.expect_err("nothing passes");
    restored.expect("it passes again");
}

/// Simulates a device on the way, such as a NAT gateway, that has lost the state of open connections: they
/// no longer carry any bytes, while new ones work.
#[async_std::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let (_platform, relay) = relayed_platform().await;
    let mut open = TcpStream::connect(relay.address()).await.expect("a relay");
    open.write_all(b"GET ").await.expect("it is open");
    crate::support::wait_until(|| relay.stats().open == 1).await;

    relay.silence_open();
    open.write_all(&REQUEST[4..])
        .await
        .expect("the sender isn't notified of the loss");
    let fresh: Result<PlatformStats, StatusCode> = get(relay.address(), "/standin/stats").await;

    fresh.expect("new connections work");
    assert!(open.read(&mut [0; 1]).now_or_never().is_none());
}
