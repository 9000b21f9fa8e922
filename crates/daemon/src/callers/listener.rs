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

/// HTTP status of a connection too many.
const TOO_MANY: u16 = 429;
/// Connections over the limit that are still told so; more are closed at once.
const TOLD_OVER_LIMIT: usize = 64;
/// When a connection too many may come back, in ms.
const RETRY_MS: u64 = 1_000;
/// Time to wait after an accept that failed, in ms: the process is out of descriptors, and an
/// accept at once would fail again.
const ACCEPT_RETRY_MS: u64 = 20;

/// An open connection; counted until dropped.
#[derive(Debug)]
struct Counted {
    open: Arc<AtomicUsize>,
    shared: Arc<Shared>,
}

impl Drop for Counted {
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
    let counted = Counted {
        open: Arc::clone(open),
        shared: Arc::clone(shared),
    };
    let limit = shared.settings.limits.max_connections as usize;
    let write_timeout = Duration::from_millis(shared.settings.limits.write_timeout_ms);
    if before >= limit + TOLD_OVER_LIMIT || set_options(&stream, write_timeout).is_err() {
        return;
    }
    let shared = Arc::clone(shared);
    task::spawn(async move {
        if before < limit {
            connection::serve_connection(shared, stream).await;
        } else {
            connection::refuse(&shared, &stream, too_many(limit)).await;
        }
        drop(counted);
    });
}

fn too_many(limit: usize) -> Refusal {
    let message = format!("{limit} connections are open already: use another entry");
    Refusal::with_status(TOO_MANY, Reason::FleetFull, message).retry_after_ms(RETRY_MS)
}
