//! What all fakes have in common: an HTTP server that can be frozen, silenced and killed.

use {
    crate::{
        http::{Answer, Call, Fault, done, ok},
        signal::{Freeze, Signal, Waiter, lock},
        target::{Common, Die, Faults},
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

/// Where to listen unless told otherwise: a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Paths with this prefix drive the fake and answer also while it is frozen or silent.
const CONTROL_PREFIX: &str = "/standin/";
/// Time between two looks whether the other end closed a connection, and to bind a port again.
const LOOK: Duration = Duration::from_millis(5);

/// What is particular to one fake, and all that it knows.
pub trait Fake: fmt::Debug + Send + Sized + 'static {
    /// What a test reads of it.
    type Stats: Serialize;

    /// Answers one request.
    fn answer(server: &Arc<Server<Self>>, call: Call) -> impl Future<Output = Answer> + Send;

    /// What all fakes know.
    fn common(&mut self) -> &mut Common;

    /// What a test reads of it.
    fn stats(&mut self) -> Self::Stats;

    /// Forgets what a new incarnation doesn't know.
    fn restart(&mut self) {}

    /// Lets what is open besides its HTTP connections go silent for good.
    fn silence(&mut self) {}
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

/// Listens on one address for a fake.
#[derive(Debug)]
pub struct Server<F> {
    state: Mutex<F>,
    /// Given when something changed that others may wait for.
    pub changed: Signal,
    pub freeze: Arc<Freeze>,
    address: SocketAddr,
    connections: Mutex<Vec<Weak<Connection>>>,
    stop: Signal,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

/// A running fake; stops when dropped.
#[derive(Debug)]
pub struct Standin<F>(pub(crate) Arc<Server<F>>);

impl<F> Drop for Standin<F> {
    fn drop(&mut self) {
        self.0.stop.notify();
        // Whoever waits for the thaw would keep the fake for ever.
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
            accepting: Mutex::default(),
        });
        server.run(listener);
        Ok(Self(server))
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// The present run.
    pub fn incarnation(&self) -> Incarnation {
        self.0.state().common().incarnation
    }

    /// What it did so far and holds now.
    pub fn stats(&self) -> F::Stats {
        self.0.state().stats()
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        let connections = lock(&self.0.connections);
        connections
            .iter()
            .filter(|known| known.strong_count() > 0)
            .count()
    }

    /// Replaces what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.0.set_faults(faults);
    }

    /// Lets the connections that are open now go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.0.silence_open();
    }

    /// Drops all connections and refuses new ones; returns when it does.
    pub async fn die(&self, die: Die) {
        self.0.die(die).await;
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

    pub async fn die(self: &Arc<Self>, die: Die) {
        // What still arrives on a connection until it is dropped names the former incarnation.
        self.restart();
        self.stop.notify();
        let accepting = lock(&self.accepting).take();
        if let Some(accepting) = accepting {
            accepting.await;
        }
        if let Some(back_after_ms) = die.back_after_ms {
            let server = Arc::downgrade(self);
            task::spawn(async move {
                task::sleep(Duration::from_millis(back_after_ms)).await;
                Self::come_back(server).await;
            });
        }
    }

    async fn come_back(server: Weak<Self>) {
        while let Some(server) = server.upgrade() {
            if let Ok(listener) = TcpListener::bind(server.address).await {
                return server.run(listener);
            }
            drop(server);
            task::sleep(LOOK).await;
        }
    }

    fn restart(&self) {
        let mut state = self.state();
        state.common().restart();
        state.restart();
    }

    fn run(self: &Arc<Self>, listener: TcpListener) {
        let stopped = self.stop.waiter();
        // Connections stop by the signal that stops the listener: one that is accepted while the
        // fake dies would outlive it with a signal of its own.
        let accept = Self::accept(Arc::downgrade(self), listener, stopped.clone());
        *lock(&self.accepting) = Some(task::spawn(stopped.or_end_of(accept)));
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
            connections.retain(|known| known.strong_count() > 0);
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
        // An answer goes out in small pieces, which must not wait for the peer's acknowledgements.
        let _best_effort = stream.set_nodelay(true);
        let answering = async_h1::accept(stream.clone(), |request| {
            Self::answer(Weak::clone(&server), request, Arc::clone(&connection))
        });
        let ended = async {
            stopped.or_end_of(closed(&stream, &connection)).await;
            if connection.control.load(Ordering::SeqCst) {
                future::pending::<()>().await;
            }
        };
        // When the caller or the fake is gone, the half-made answer is dropped and its work too.
        future::select(pin!(answering), pin!(ended)).await;
    }

    async fn answer(
        server: Weak<Self>,
        request: Request,
        connection: Arc<Connection>,
    ) -> http_types::Result<Response> {
        let server = server.upgrade().ok_or_else(broken_off)?;
        let path = request.url().path().to_owned();
        if path.starts_with(CONTROL_PREFIX) {
            connection.control.store(true, Ordering::SeqCst);
            let answer = server
                .control(Call {
                    path,
                    request,
                    connection,
                })
                .await;
            let mut response = whole(answer)?;
            // A connection that outlives `die` must not carry other requests afterwards.
            response.insert_header("connection", "close");
            return Ok(response);
        }
        connection.pass().await;
        let call = Call {
            path,
            request,
            connection: Arc::clone(&connection),
        };
        let answer = F::answer(&server, call).await;
        connection.pass().await;
        whole(answer)
    }

    async fn control(self: &Arc<Self>, mut call: Call) -> Answer {
        match call.path.as_str() {
            "/standin/faults" => self.set_faults(call.read().await?),
            "/standin/silence" => self.silence_open(),
            "/standin/die" => self.die(call.read().await?).await,
            "/standin/stats" => return ok(&self.state().stats()),
            _ => return F::answer(self, call).await,
        }
        done()
    }
}

/// Returns when the other end closed the connection and a process would see that.
async fn closed(stream: &TcpStream, connection: &Connection) {
    let mut byte = [0_u8; 1];
    while !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        task::sleep(LOOK).await;
    }
    connection.pass().await;
}

/// The answer as it goes out; a broken one closes the connection.
fn whole(answer: Answer) -> http_types::Result<Response> {
    match answer {
        Ok(response) => Ok(response),
        Err(Fault::BrokenOff) => Err(broken_off()),
        Err(Fault::BadRequest(message)) => {
            let mut response = Response::new(StatusCode::BadRequest);
            response.set_body(message);
            Ok(response)
        }
    }
}

fn broken_off() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "broken off")
}
