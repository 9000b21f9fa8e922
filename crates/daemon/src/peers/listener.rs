use {
    super::link::accept_link,
    crate::{shared::Shared, targets::GuardedStream},
    async_std::{net::TcpListener, task},
    std::sync::Arc,
};

/// Connections to the address for peers that may be open at once, proved or not.
const MAX_CONNECTIONS: usize = 1_024;
/// Time to wait after an accept that failed, in ms.
const ACCEPT_RETRY_MS: u64 = 20;

/// Accepts links until the future is dropped.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let places = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                // Each connection holds a copy; the one here is not counted.
                let place = Arc::clone(&places);
                if Arc::strong_count(&places) - 1 > MAX_CONNECTIONS {
                    continue;
                }
                let Ok(stream) = GuardedStream::new(stream) else {
                    continue;
                };
                let shared = Arc::clone(&shared);
                task::spawn(async move {
                    accept_link(shared, stream, from).await;
                    drop(place);
                });
            }
            Err(_out_of_descriptors) => shared.clock.sleep(ACCEPT_RETRY_MS).await,
        }
    }
}
