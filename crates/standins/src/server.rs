//! An HTTP server that can be frozen, silenced, taken down and brought up again.

use {
    crate::{
        http::{Answer, Fault},
        signal::{Signal, lock},
    },
    async_std::{
        net::{TcpListener, TcpStream},
        task::{self, JoinHandle},
    },
    futures::{
        future::{self, BoxFuture, Either},
        pin_mut,
    },
    http_types::{Request, Response, StatusCode},
    std::{
        fmt, io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Paths with this prefix drive the fake and answer also while it is frozen or silent.
const CONTROL_PREFIX: &str = "/standin/";
/// Time between two looks whether the other end closed a connection.
const CLOSE_POLL: Duration = Duration::from_millis(5);
/// Time between two attempts to bind the port again.
const BIND_RETRY: Duration = Duration::from_millis(5);
/// Attempts to bind the port again before it is given up.
const BIND_ATTEMPTS: u32 = 1_000;

/// Answers one request.
pub type Handler =
    Arc<dyn Fn(Request, Arc<Connection>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// Stops a process in time: whatever passes here waits until it goes on.
#[derive(Debug)]
pub struct Freeze {
    on: AtomicBool,
    changed: Signal,
}

impl Freeze {
    pub fn new() -> Self {
        Self {
            on: AtomicBool::new(false),
            changed: Signal::new(),
        }
    }

    pub fn set(&self, on: bool) {
        self.on.store(on, Ordering::SeqCst);
        self.changed.notify();
    }

    pub async fn pass(&self) {
        loop {
            let waiter = self.changed.waiter();
            if !self.on.load(Ordering::SeqCst) {
                return;
            }
            waiter.wait().await;
        }
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct Connection {
    silent: AtomicBool,
    control: AtomicBool,
    freeze: Arc<Freeze>,
}

impl Connection {
    /// Waits while the fake is frozen, and for ever once the connection is silent.
    pub async fn pass(&self) {
        self.freeze.pass().await;
        if self.silent.load(Ordering::SeqCst) {
            future::pending::<()>().await;
        }
    }
}

struct Running {
    stop: Arc<Signal>,
    accepting: JoinHandle<()>,
}

/// Listens on one address; stops when dropped.
pub struct Server {
    address: SocketAddr,
    handler: Handler,
    freeze: Arc<Freeze>,
    connections: Arc<Mutex<Vec<Weak<Connection>>>>,
    running: Mutex<Option<Running>>,
}

impl fmt::Debug for Server {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(running) = lock(&self.running).take() {
            running.stop.notify();
        }
    }
}

impl Server {
    pub async fn start(
        listen: SocketAddr,
        freeze: Arc<Freeze>,
        handler: Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let server = Self {
            address: listener.local_addr()?,
            handler,
            freeze,
            connections: Arc::default(),
            running: Mutex::new(None),
        };
        server.run(listener);
        Ok(server)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets all connections that are open now go silent for good, but for those that carry
    /// control requests.
    pub fn silence_open(&self) {
        for connection in lock(&self.connections).iter().filter_map(Weak::upgrade) {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Drops all connections and refuses new ones.
    pub async fn down(&self) {
        let running = lock(&self.running).take();
        if let Some(running) = running {
            running.stop.notify();
            running.accepting.await;
        }
    }

    /// Listens again on the same address.
    pub async fn up(&self) -> io::Result<()> {
        let mut attempt = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(error) if attempt == BIND_ATTEMPTS => return Err(error),
                Err(_taken) => task::sleep(BIND_RETRY).await,
            }
            attempt += 1;
        };
        self.run(listener);
        Ok(())
    }

    fn run(&self, listener: TcpListener) {
        let stop = Arc::new(Signal::new());
        let accepting = task::spawn(accept_loop(
            listener,
            Arc::clone(&stop),
            Arc::clone(&self.handler),
            Arc::clone(&self.freeze),
            Arc::clone(&self.connections),
        ));
        *lock(&self.running) = Some(Running { stop, accepting });
    }
}

async fn accept_loop(
    listener: TcpListener,
    stop: Arc<Signal>,
    handler: Handler,
    freeze: Arc<Freeze>,
    connections: Arc<Mutex<Vec<Weak<Connection>>>>,
) {
    let stopped = stop.waiter().wait();
    pin_mut!(stopped);
    loop {
        let accepted = listener.accept();
        pin_mut!(accepted);
        let stream = match future::select(&mut stopped, accepted).await {
            Either::Left(_) => return,
            Either::Right((Ok((stream, _peer)), _)) => stream,
            Either::Right((Err(_gone_before_accepted), _)) => continue,
        };
        let connection = Arc::new(Connection {
            silent: AtomicBool::new(false),
            control: AtomicBool::new(false),
            freeze: Arc::clone(&freeze),
        });
        remember(&connections, &connection);
        task::spawn(serve(
            stream,
            connection,
            stop.waiter().wait(),
            Arc::clone(&handler),
        ));
    }
}

fn remember(connections: &Mutex<Vec<Weak<Connection>>>, connection: &Arc<Connection>) {
    let mut connections = lock(connections);
    connections.retain(|known| known.strong_count() > 0);
    connections.push(Arc::downgrade(connection));
}

async fn serve(
    stream: TcpStream,
    connection: Arc<Connection>,
    stopped: impl Future<Output = ()>,
    handler: Handler,
) {
    // An answer goes out in small pieces, which must not wait for the peer's acknowledgements.
    let _best_effort = stream.set_nodelay(true);
    let mut answering = async_h1::server::Server::new(stream.clone(), |request| {
        answer(request, Arc::clone(&connection), Arc::clone(&handler))
    });
    let ended = async {
        future::select(Box::pin(stopped), Box::pin(closed(&stream, &connection))).await;
        if connection.control.load(Ordering::SeqCst) {
            future::pending::<()>().await;
        }
    };
    // When the caller or the fake is gone, the half-made answer is dropped and its work with it.
    future::select(Box::pin(answering.accept()), Box::pin(ended)).await;
}

/// Returns when the other end closed the connection and a process would see that.
async fn closed(stream: &TcpStream, connection: &Connection) {
    let mut byte = [0_u8; 1];
    loop {
        task::sleep(CLOSE_POLL).await;
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return connection.pass().await,
            Ok(_unread) => {}
        }
    }
}

async fn answer(
    request: Request,
    connection: Arc<Connection>,
    handler: Handler,
) -> http_types::Result<Response> {
    let control = request.url().path().starts_with(CONTROL_PREFIX);
    connection.control.store(control, Ordering::SeqCst);
    if !control {
        connection.pass().await;
    }
    let answer = handler(request, Arc::clone(&connection)).await;
    if !control {
        connection.pass().await;
    }
    match answer {
        Ok(mut response) => {
            if control {
                // A connection that outlives `down` must not carry other requests afterwards.
                response.insert_header("connection", "close");
            }
            Ok(response)
        }
        Err(Fault::BadRequest(message)) => {
            let mut response = Response::new(StatusCode::BadRequest);
            response.set_body(message);
            Ok(response)
        }
        Err(Fault::BrokenOff) => Err(http_types::Error::from_str(500, "broken off")),
    }
}
