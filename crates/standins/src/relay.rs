//! TCP relay between two processes, which can cut, delay or silence their connections.
//!
//! Control requests go to a separate port:
//!
//! | request | body | response |
//! |---|---|---|
//! | `POST /standin/mode` | [`RelayMode`] | 204 |
//! | `POST /standin/silence` | | 204; the open connections never carry anything again |
//! | `GET /standin/stats` | | [`RelayStats`] |

use {
    crate::{
        http::{HandlerResult, IncomingRequest, no_content, status},
        signal::{Freeze, Signal},
        standin::{ANY_PORT, Fake, Server, Standin},
        target::CommonState,
    },
    async_std::{
        io::{ReadExt, WriteExt},
        net::{Shutdown, TcpListener, TcpStream},
        task::{self, JoinHandle},
    },
    futures::{future, join},
    http_types::StatusCode,
    serde::{Deserialize, Serialize},
    socket2::{Domain, SockRef, Socket, Type},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;
/// Size of the buffer for forwarded bytes.
const COPY_BUFFER_BYTES: usize = 16_384;
/// Delay of each forwarded piece in slow mode, in ms: about twenty times that of a healthy network.
const SLOW_MS: u64 = 40;

/// Settings of a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayOptions {
    /// Address to listen on; a free loopback port by default.
    pub listen: SocketAddr,
    /// Address to which connections are forwarded.
    pub to: SocketAddr,
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            to: ANY_PORT,
        }
    }
}

/// How a relay treats connections and the bytes on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Forwards all bytes.
    Pass,
    /// Closes open connections, and new ones immediately.
    Cut,
    /// Resets open and new connections.
    Reset,
    /// Holds up all bytes, also on new connections, until the mode changes.
    Hold,
    /// Holds up what the server sends, until the mode changes.
    HoldBack,
    /// Delays all bytes.
    Slow,
}

/// Counters of a relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStats {
    /// Connections accepted so far.
    pub accepted: u64,
    /// Connections open now.
    pub open: usize,
}

/// Running relay, which stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    control: Standin<FakeRelay>,
    stop: Signal,
    /// The task that accepts connections, until it was waited for.
    accepting: Option<JoinHandle<()>>,
    /// Holds the port also when nothing listens on it, so that no other program is reached there.
    _reserved: Socket,
}

/// How a relay ends connections that it cuts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutKind {
    Closed,
    Reset,
}

/// Current treatment of the bytes on all connections.
#[derive(Debug, Default)]
struct Link {
    /// Holds up bytes from clients to the server.
    to_server: Freeze,
    /// Holds up bytes from the server to clients.
    to_client: Freeze,
    is_slow: AtomicBool,
    /// Whether connections that end now are reset instead of closed.
    is_reset: AtomicBool,
}

impl Link {
    /// Delays bytes as the mode demands.
    async fn delay(&self, direction: &Freeze) {
        direction.wait_while_frozen().await;
        if self.is_slow.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(SLOW_MS)).await;
        }
    }
}

#[derive(Debug)]
struct FakeRelay {
    common: CommonState,
    to: SocketAddr,
    link: Arc<Link>,
    /// How connections are ended while they are cut; `None` while they are forwarded.
    cut: Option<CutKind>,
    /// Notified to drop all open connections.
    drop_connections: Signal,
    accepted: u64,
    /// Flag of each open connection that makes it silent.
    open: Vec<Weak<AtomicBool>>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.notify();
        self.set_mode(RelayMode::Cut);
    }
}

impl Relay {
    /// Binds the listen address and starts to forward connections.
    ///
    /// # Errors
    /// The listen address can't be bound.
    pub async fn start(options: RelayOptions) -> io::Result<Self> {
        let (reserved, listener) = listen(options.listen)?;
        let address = listener.local_addr()?;
        let fake = FakeRelay {
            common: CommonState::default(),
            to: options.to,
            link: Arc::default(),
            cut: None,
            drop_connections: Signal::default(),
            accepted: 0,
            open: Vec::new(),
        };
        let control = Standin::listen(ANY_PORT, fake).await?;
        let stop = Signal::default();
        let accepting = task::spawn(
            stop.waiter()
                .run_until_signal(accept(Arc::clone(&control.0), listener)),
        );
        Ok(Self {
            address,
            control,
            stop,
            accepting: Some(accepting),
            _reserved: reserved,
        })
    }

    /// Returns the address on which it accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for control requests.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops accepting connections; open ones continue. New ones are refused once this returns.
    pub async fn stop_listening(&mut self) {
        self.stop.notify();
        if let Some(accepting) = self.accepting.take() {
            accepting.await;
        }
    }

    /// Sets the mode. `RelayMode::Pass` restores normal forwarding, except on connections that were silenced.
    pub fn set_mode(&self, mode: RelayMode) {
        self.control.0.set_mode(mode);
    }

    /// Silences all open connections permanently; connections opened later work.
    pub fn silence_open(&self) {
        self.control.silence_open();
    }

    /// Returns the counters.
    pub fn stats(&self) -> RelayStats {
        self.control.stats()
    }
}

impl Fake for FakeRelay {
    type Stats = RelayStats;

    async fn handle(server: &Arc<Server<Self>>, mut incoming: IncomingRequest) -> HandlerResult {
        if incoming.path != "/standin/mode" {
            return status(StatusCode::NotFound);
        }
        server.set_mode(incoming.read().await?);
        no_content()
    }

    fn common(&mut self) -> &mut CommonState {
        &mut self.common
    }

    fn stats(&mut self) -> RelayStats {
        self.open.retain(|open| open.strong_count() > 0);
        RelayStats {
            accepted: self.accepted,
            open: self.open.len(),
        }
    }

    fn silence(&mut self) {
        for silent in self.open.iter().filter_map(Weak::upgrade) {
            silent.store(true, Ordering::SeqCst);
        }
    }
}

impl Server<FakeRelay> {
    fn set_mode(&self, mode: RelayMode) {
        let mut state = self.state();
        state.cut = match mode {
            RelayMode::Cut => Some(CutKind::Closed),
            RelayMode::Reset => Some(CutKind::Reset),
            RelayMode::Pass | RelayMode::Hold | RelayMode::HoldBack | RelayMode::Slow => None,
        };
        let link = &state.link;
        link.to_server.set(mode == RelayMode::Hold);
        let holds_answers = matches!(mode, RelayMode::Hold | RelayMode::HoldBack);
        link.to_client.set(holds_answers);
        link.is_slow
            .store(mode == RelayMode::Slow, Ordering::SeqCst);
        link.is_reset
            .store(mode == RelayMode::Reset, Ordering::SeqCst);
        if state.cut.is_some() {
            state.drop_connections.notify();
        }
    }
}

async fn accept(server: Arc<Server<FakeRelay>>, listener: TcpListener) {
    loop {
        let Ok((client, _peer)) = listener.accept().await else {
            continue;
        };
        let mut state = server.state();
        state.accepted += 1;
        if let Some(kind) = state.cut {
            if kind == CutKind::Reset {
                reset_at_end(&client);
            }
            continue;
        }
        let silent = Arc::new(AtomicBool::new(false));
        state.open.push(Arc::downgrade(&silent));
        let forwarding = forward(client, state.to, Arc::clone(&state.link), silent);
        task::spawn(state.drop_connections.waiter().run_until_signal(forwarding));
    }
}

/// Takes an address, with any free port for port 0.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Takes an address and listens on it. The first socket holds the port when the listener is gone.
fn listen(address: SocketAddr) -> io::Result<(Socket, TcpListener)> {
    let reserved = bind(address)?;
    let address = reserved.local_addr()?.as_socket();
    let listener = bind(address.ok_or(io::ErrorKind::AddrNotAvailable)?)?;
    listener.listen(BACKLOG)?;
    Ok((reserved, std::net::TcpListener::from(listener).into()))
}

/// Makes the connection end with a reset. Fails without effect if it is closed already.
fn reset_at_end(stream: &TcpStream) {
    let _already_closed = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Both sides of a forwarded connection. When it is dropped, they are reset if the mode demands it.
struct ConnectionPair {
    client: TcpStream,
    server: TcpStream,
    link: Arc<Link>,
}

impl Drop for ConnectionPair {
    fn drop(&mut self) {
        if self.link.is_reset.load(Ordering::SeqCst) {
            reset_at_end(&self.client);
            reset_at_end(&self.server);
        }
    }
}

async fn forward(client: TcpStream, to: SocketAddr, link: Arc<Link>, silent: Arc<AtomicBool>) {
    link.delay(&link.to_server).await;
    let Ok(server_stream) = TcpStream::connect(to).await else {
        return;
    };
    let _best_effort = (client.set_nodelay(true), server_stream.set_nodelay(true));
    let pair = ConnectionPair {
        client: client.clone(),
        server: server_stream.clone(),
        link,
    };
    let to_server = copy(
        &pair.link,
        &pair.link.to_server,
        client.clone(),
        server_stream.clone(),
        &silent,
    );
    let to_client = copy(
        &pair.link,
        &pair.link.to_client,
        server_stream,
        client,
        &silent,
    );
    join!(to_server, to_client);
}

async fn copy(
    link: &Link,
    direction: &Freeze,
    mut from: TcpStream,
    mut to: TcpStream,
    silent: &AtomicBool,
) {
    let mut buffer = vec![0_u8; COPY_BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        link.delay(direction).await;
        if silent.load(Ordering::SeqCst) {
            // Neither bytes nor the end of the connection reach the other side.
            future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            let _already_closed = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
