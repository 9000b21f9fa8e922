//! A TCP relay that stands between two processes to cut or silence what passes.
//!
//! Its control calls are on a port of their own:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /standin/mode` | [`RelayMode`] | 204 |
//! | `POST /standin/silence` | | 204: the open connections are silent for good |
//! | `GET /standin/stats` | | [`RelayStats`] |

use {
    crate::{
        http::{Answer, done, ok, read, status},
        platform::ANY_PORT,
        server::{Freeze, Server},
        signal::{Signal, lock},
    },
    async_std::{
        io::{ReadExt, WriteExt},
        net::{Shutdown, TcpListener, TcpStream},
        task,
    },
    futures::{
        future::{self, BoxFuture, FutureExt},
        join,
    },
    http_types::{Method, Request, StatusCode},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Most bytes passed on at a time.
const COPY_BYTES: usize = 16_384;

/// How a relay starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayOptions {
    /// Where to listen.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Where to pass connections on to.
    pub to: SocketAddr,
}

fn any_port() -> SocketAddr {
    ANY_PORT
}

/// What happens to bytes on their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// They pass.
    Pass,
    /// Open connections are dropped and new ones closed at once.
    Cut,
    /// Nothing passes, on new connections either; it goes on when healed.
    Hold,
}

/// What a relay did so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStats {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections that are open.
    pub open: usize,
}

/// A running relay; stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    control: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    hold: Arc<Freeze>,
    state: Mutex<State>,
    /// Given when the open connections are to be dropped.
    cut: Signal,
    stop: Signal,
}

#[derive(Debug)]
struct State {
    mode: RelayMode,
    accepted: u64,
    open: Vec<Weak<AtomicBool>>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.notify();
        self.shared.cut.notify();
    }
}

impl Relay {
    /// Listens and passes connections on from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: RelayOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            to: options.to,
            hold: Arc::new(Freeze::new()),
            state: Mutex::new(State {
                mode: RelayMode::Pass,
                accepted: 0,
                open: Vec::new(),
            }),
            cut: Signal::new(),
            stop: Signal::new(),
        });
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let routed = Arc::clone(&shared);
        let handler = Arc::new(move |request, _connection| answer(Arc::clone(&routed), request));
        let control = Server::start(ANY_PORT, Arc::new(Freeze::new()), handler).await?;
        let stopped = shared.stop.waiter().wait();
        let accepting = Arc::clone(&shared);
        task::spawn(async move {
            future::select(Box::pin(stopped), Box::pin(accepting.accept(listener))).await;
        });
        Ok(Self {
            address,
            control,
            shared,
        })
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it takes control calls.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets what happens to bytes; `Pass` heals but for connections that were silenced.
    pub fn set_mode(&self, mode: RelayMode) {
        self.shared.set_mode(mode);
    }

    /// Lets the connections that are open now go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.shared.silence_open();
    }

    /// What it did so far.
    pub fn stats(&self) -> RelayStats {
        self.shared.stats()
    }
}

fn answer(shared: Arc<Shared>, mut request: Request) -> BoxFuture<'static, Answer> {
    async move {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/standin/mode") => {
                shared.set_mode(read(&mut request).await?);
                done()
            }
            (Method::Post, "/standin/silence") => {
                shared.silence_open();
                done()
            }
            (Method::Get, "/standin/stats") => ok(&shared.stats()),
            _ => status(StatusCode::NotFound),
        }
    }
    .boxed()
}

impl Shared {
    fn set_mode(&self, mode: RelayMode) {
        lock(&self.state).mode = mode;
        self.hold.set(mode == RelayMode::Hold);
        if mode == RelayMode::Cut {
            self.cut.notify();
        }
    }

    fn silence_open(&self) {
        for silent in lock(&self.state).open.iter().filter_map(Weak::upgrade) {
            silent.store(true, Ordering::SeqCst);
        }
    }

    fn stats(&self) -> RelayStats {
        let state = lock(&self.state);
        let open = state
            .open
            .iter()
            .filter(|open| open.strong_count() > 0)
            .count();
        RelayStats {
            accepted: state.accepted,
            open,
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((near, _peer)) = listener.accept().await else {
                continue;
            };
            let silent = Arc::new(AtomicBool::new(false));
            // Made before the mode is looked at, so that no cut falls between the two.
            let cut = self.cut.waiter().wait();
            {
                let mut state = lock(&self.state);
                state.accepted += 1;
                if state.mode == RelayMode::Cut {
                    continue;
                }
                state.open.retain(|open| open.strong_count() > 0);
                state.open.push(Arc::downgrade(&silent));
            }
            let shared = Arc::clone(&self);
            task::spawn(async move {
                future::select(Box::pin(cut), Box::pin(shared.pass_on(near, &silent))).await;
            });
        }
    }

    async fn pass_on(&self, near: TcpStream, silent: &AtomicBool) {
        self.hold.pass().await;
        let Ok(far) = TcpStream::connect(self.to).await else {
            return;
        };
        let _best_effort = (near.set_nodelay(true), far.set_nodelay(true));
        join!(
            self.copy(near.clone(), far.clone(), silent),
            self.copy(far.clone(), near.clone(), silent),
        );
    }

    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
        let mut buffer = vec![0_u8; COPY_BYTES];
        loop {
            let count = from.read(&mut buffer).await.unwrap_or(0);
            self.hold.pass().await;
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
}
