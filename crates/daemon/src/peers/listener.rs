use {
    super::link::accept_link,
    crate::{shared::Shared, targets::GuardedStream},
    async_std::{net::TcpListener, task},
    std::sync::Arc,
};

/// Largest number of open connections to the address for peers, authenticated or not.
const MAX_CONNECTIONS: usize = 1_024;
/// Wait after a failed accept, in ms; the process is out of file descriptors then.
const ACCEPT_RETRY_MS: u64 = 20;

/// Accepts links until the future is dropped. Connections over the limit are closed.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let open = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                // Each connection holds a clone; the one of this function is not counted.
                let guard = Arc::clone(&open);
                if Arc::strong_count(&open) - 1 > MAX_CONNECTIONS {
                    continue;
                }
                let Ok(stream) = GuardedStream::new(stream) else {
                    continue;
                };
                let shared = Arc::clone(&shared);
                task::spawn(async move {
                    accept_link(shared, stream, from).await;
                    drop(guard);
                });
            }
            Err(_out_of_descriptors) => shared.clock.sleep(ACCEPT_RETRY_MS).await,
        }
    }
}
