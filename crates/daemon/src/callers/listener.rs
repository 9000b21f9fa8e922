use {
    super::{connection, refusal::Refusal},
    crate::{shared::Shared, targets::set_options},
    async_std::{
        net::{TcpListener, TcpStream},
        task,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    whinlatch_wire::caller::Reason,
};

/// HTTP status of a connection over the limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Connections over the limit that are refused with an answer at the same time; further ones are closed
/// without one.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// `retry-after` of a refusal over the limit, in ms.
const RETRY_AFTER_MS: u64 = 1_000;
/// Wait after a failed accept, in ms. The process is out of file descriptors then, and an
/// immediate retry would fail again.
const ACCEPT_RETRY_MS: u64 = 20;

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    open: Arc<AtomicUsize>,
    shared: Arc<Shared>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
        self.shared.metrics.add_connections(-1);
    }
}

/// Accepts callers' connections until the future is dropped.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _from)) => accept(&shared, &open, stream),
            Err(_out_of_descriptors) => shared.clock.sleep(ACCEPT_RETRY_MS).await,
        }
    }
}

fn accept(shared: &Arc<Shared>, open: &Arc<AtomicUsize>, stream: TcpStream) {
    let before = open.fetch_add(1, Ordering::SeqCst);
    shared.metrics.add_connections(1);
    let guard = ConnectionGuard {
        open: Arc::clone(open),
        shared: Arc::clone(shared),
    };
    let limit = shared.settings.limits.max_connections as usize;
    let write_timeout = Duration::from_millis(shared.settings.limits.write_timeout_ms);
    if before >= limit + MAX_CONCURRENT_REFUSALS || set_options(&stream, write_timeout).is_err() {
        return;
    }
    let shared = Arc::clone(shared);
    task::spawn(async move {
        if before < limit {
            connection::serve_connection(shared, stream).await;
        } else {
            connection::refuse(&shared, &stream, over_limit(limit)).await;
        }
        drop(guard);
    });
}

fn over_limit(limit: usize) -> Refusal {
    let message = format!("{limit} connections are open already: use another entry");
    Refusal::with_status(TOO_MANY_REQUESTS, Reason::FleetFull, message)
        .retry_after_ms(RETRY_AFTER_MS)
}
