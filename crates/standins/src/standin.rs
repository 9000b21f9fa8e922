//! HTTP server that all fakes share, which can be frozen, silenced and crashed.

use {
    crate::{
        http::{HandlerError, HandlerResult, IncomingRequest, no_content, ok},
        signal::{Freeze, Signal, Waiter, lock},
        target::{CommonState, CrashOptions, Faults},
    },
    async_std::{
        net::{TcpListener, TcpStream},
        task::{self, JoinHandle},
    },
    futures::future,
    http_types::{Request, Response, StatusCode},
    serde::Serialize,
    std::{
        fmt, io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    whinlatch_wire::ids::Incarnation,
};

/// Default listen address: a free loopback port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Prefix of the paths that control the fake; they are answered even while it is frozen or silent.
const CONTROL_PREFIX: &str = "/standin/";
/// Interval at which connections are checked for closure, and binding a port is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State and request handling of one kind of fake.
pub trait Fake: fmt::Debug + Send + Sized + 'static {
    /// Statistics of the fake, as `/standin/stats` returns them.
    type Stats: Serialize;

    /// Handles one request.
    fn handle(
        server: &Arc<Server<Self>>,
        incoming: IncomingRequest,
    ) -> impl Future<Output = HandlerResult> + Send;

    /// Returns the state that all fakes share.
    fn common(&mut self) -> &mut CommonState;

    /// Returns the current statistics.
    fn stats(&mut self) -> Self::Stats;

    /// Clears state that a new incarnation doesn't have.
    fn restart(&mut self) {}

    /// Permanently silences connections other than those of its HTTP server.
    fn silence(&mut self) {}
}

/// Open connection of a caller.
#[derive(Debug)]
pub struct Connection {
    /// Whether the fake has stopped sending on the connection.
    silent: AtomicBool,
    /// Whether the connection carries a control request, which outlives a crash of the fake.
    control: AtomicBool,
    freeze: Arc<Freeze>,
}

impl Connection {
    /// Waits while the fake is frozen, and forever once the connection is silent.
    pub async fn wait_while_blocked(&self) {
        self.freeze.wait_while_frozen().await;
        if self.silent.load(Ordering::SeqCst) {
            future::pending::<()>().await;
        }
    }
}

/// HTTP server of a fake.
#[derive(Debug)]
pub struct Server<F> {
    state: Mutex<F>,
    /// Notified when the state has changed in a way that tasks may wait for.
    pub changed: Signal,
    pub freeze: Arc<Freeze>,
    address: SocketAddr,
    connections: Mutex<Vec<Weak<Connection>>>,
    stop: Signal,
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

/// Running fake, which stops when it is dropped.
#[derive(Debug)]
pub struct Standin<F>(pub(crate) Arc<Server<F>>);

impl<F> Drop for Standin<F> {
    fn drop(&mut self) {
        self.0.stop.notify();
        // Tasks that wait for the fake to be unfrozen would keep it alive forever.
        self.0.freeze.set(false);
    }
}

impl<F: Fake> Standin<F> {
    pub(crate) async fn listen(listen: SocketAddr, state: F) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let server = Arc::new(Server {
            state: Mutex::new(state),
            changed: Signal::default(),
            freeze: Arc::default(),
            address: listener.local_addr()?,
            connections: Mutex::default(),
            stop: Signal::default(),
            accept_task: Mutex::default(),
        });
        server.spawn_listener(listener);
        Ok(Self(server))
    }

    /// Returns the address on which it answers.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.0.state().common().incarnation
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> F::Stats {
        self.0.state().stats()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        let connections = lock(&self.0.connections);
        connections
            .iter()
            .filter(|connection| connection.strong_count() > 0)
            .count()
    }

    /// Replaces the faults to simulate.
    pub fn set_faults(&self, faults: Faults) {
        self.0.set_faults(faults);
    }

    /// Silences all open connections permanently; connections opened later work.
    pub fn silence_open(&self) {
        self.0.silence_open();
    }

    /// Drops all connections and refuses new ones. Returns when new ones are refused.
    pub async fn crash(&self, options: CrashOptions) {
        self.0.crash(options).await;
    }
}

impl<F: Fake> Server<F> {
    pub fn state(&self) -> MutexGuard<'_, F> {
        lock(&self.state)
    }

    fn set_faults(&self, faults: Faults) {
        self.freeze.set(faults.frozen);
        self.state().common().faults = faults;
        self.changed.notify();
    }

    fn silence_open(&self) {
        for connection in lock(&self.connections).iter().filter_map(Weak::upgrade) {
            connection.silent.store(true, Ordering::SeqCst);
        }
        self.state().silence();
    }

    pub async fn crash(self: &Arc<Self>, options: CrashOptions) {
        // The incarnation changes first, so that requests that arrive before their connection is dropped are
        // refused: they name the previous one.
        self.restart();
        self.stop.notify();
        let accept_task = lock(&self.accept_task).take();
        if let Some(accept_task) = accept_task {
            accept_task.await;
        }
        if let Some(back_after_ms) = options.back_after_ms {
            let server = Arc::downgrade(self);
            task::spawn(async move {
                task::sleep(Duration::from_millis(back_after_ms)).await;
                Self::listen_again(server).await;
            });
        }
    }

    async fn listen_again(server: Weak<Self>) {
        while let Some(server) = server.upgrade() {
            if let Ok(listener) = TcpListener::bind(server.address).await {
                return server.spawn_listener(listener);
            }
            drop(server);
            task::sleep(POLL_INTERVAL).await;
        }
    }

    fn restart(&self) {
        let mut state = self.state();
        state.common().restart();
        state.restart();
    }

    fn spawn_listener(self: &Arc<Self>, listener: TcpListener) {
        let stopped = self.stop.waiter();
        // Connections share the waiter of the listener: with a waiter of its own, one that is accepted
        // while the fake crashes could miss the signal and outlive it.
        let accept = Self::accept(Arc::downgrade(self), listener, stopped.clone());
        *lock(&self.accept_task) = Some(task::spawn(stopped.run_until_signal(accept)));
    }

    async fn accept(server: Weak<Self>, listener: TcpListener, stopped: Waiter) {
        loop {
            let Ok((stream, _peer)) = listener.accept().await else {
                continue;
            };
            let Some(server) = server.upgrade() else {
                return;
            };
            let connection = Arc::new(Connection {
                silent: AtomicBool::new(false),
                control: AtomicBool::new(false),
                freeze: Arc::clone(&server.freeze),
            });
            let mut connections = lock(&server.connections);
            connections.retain(|connection| connection.strong_count() > 0);
            connections.push(Arc::downgrade(&connection));
            let server = Arc::downgrade(&server);
            task::spawn(Self::serve(server, stream, connection, stopped.clone()));
        }
    }

    async fn serve(
        server: Weak<Self>,
        stream: TcpStream,
        connection: Arc<Connection>,
        stopped: Waiter,
    ) {
        // Answers are sent in small pieces, which Nagle's algorithm would delay.
        let _best_effort = stream.set_nodelay(true);
        let answering = async_h1::accept(stream.clone(), |request| {
            Self::handle(Weak::clone(&server), request, Arc::clone(&connection))
        });
        let disconnected = async {
            stopped
                .run_until_signal(wait_until_closed(&stream, &connection))
                .await;
            if connection.control.load(Ordering::SeqCst) {
                future::pending::<()>().await;
            }
        };
        // When the caller disconnects or the fake stops, the unfinished answer is dropped, and its request
        // with it.
        future::select(pin!(answering), pin!(disconnected)).await;
    }

    async fn handle(
        server: Weak<Self>,
        request: Request,
        connection: Arc<Connection>,
    ) -> http_types::Result<Response> {
        let server = server.upgrade().ok_or_else(connection_aborted)?;
        let path = request.url().path().to_owned();
        if path.starts_with(CONTROL_PREFIX) {
            connection.control.store(true, Ordering::SeqCst);
            let result = server
                .control(IncomingRequest {
                    path,
                    request,
                    connection,
                })
                .await;
            let mut response = into_response(result)?;
            // The connection of a control request outlives `crash` and must not carry further requests
            // afterwards.
            response.insert_header("connection", "close");
            return Ok(response);
        }
        connection.wait_while_blocked().await;
        let incoming = IncomingRequest {
            path,
            request,
            connection: Arc::clone(&connection),
        };
        let result = F::handle(&server, incoming).await;
        connection.wait_while_blocked().await;
        into_response(result)
    }

    async fn control(self: &Arc<Self>, mut incoming: IncomingRequest) -> HandlerResult {
        match incoming.path.as_str() {
            "/standin/faults" => self.set_faults(incoming.read().await?),
            "/standin/silence" => self.silence_open(),
            "/standin/die" => self.crash(incoming.read().await?).await,
            "/standin/stats" => return ok(&self.state().stats()),
            _ => return F::handle(self, incoming).await,
        }
        no_content()
    }
}

/// Returns when the other end has closed the connection, and not before a frozen process could notice.
async fn wait_until_closed(stream: &TcpStream, connection: &Connection) {
    let mut byte = [0_u8; 1];
    while !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        task::sleep(POLL_INTERVAL).await;
    }
    connection.wait_while_blocked().await;
}

/// Converts the result of a handler into a response, or an error that closes the connection.
fn into_response(result: HandlerResult) -> http_types::Result<Response> {
    match result {
        Ok(response) => Ok(response),
        Err(HandlerError::CloseConnection) => Err(connection_aborted()),
        Err(HandlerError::BadRequest(message)) => {
            let mut response = Response::new(StatusCode::BadRequest);
            response.set_body(message);
            Ok(response)
        }
    }
}

fn connection_aborted() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "closed without a response")
}
