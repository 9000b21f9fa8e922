use {
    crate::clock::{Clock, timeout},
    async_std::net::TcpStream,
    futures::io::{AsyncRead, AsyncWrite},
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::{Shutdown, SocketAddr},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Time for a connection to be established, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle time after which the system sends the first TCP keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which the connection is broken.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time for which bytes sent to a target or peer may stay unacknowledged before the connection is
/// broken (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens a connection with the usual timeouts.
///
/// # Errors
/// The connection is refused or not established within `CONNECT_TIMEOUT_MS`.
pub async fn connect(clock: &dyn Clock, address: SocketAddr) -> io::Result<GuardedStream> {
    connect_within(clock, address, CONNECT_TIMEOUT_MS, USER_TIMEOUT).await
}

/// Opens a connection within `timeout_ms`. Sent bytes may stay unacknowledged for `user_timeout`.
///
/// # Errors
/// The connection is refused or not established within `timeout_ms`.
pub async fn connect_within(
    clock: &dyn Clock,
    address: SocketAddr,
    timeout_ms: u64,
    user_timeout: Duration,
) -> io::Result<GuardedStream> {
    let stream = timeout(clock, timeout_ms, TcpStream::connect(address))
        .await
        .ok_or(io::ErrorKind::TimedOut)??;
    let guarded = GuardedStream(stream);
    set_options(&guarded.0, user_timeout)?;
    Ok(guarded)
}

/// Sets the socket options of a connection.
///
/// Guards against a connection that a device between the two ends has dropped from its tables: it
/// stays open and silent. Keepalive probes go unanswered then, and reads fail; sent bytes stay
/// unacknowledged, and after `user_timeout` writes fail too.
///
/// # Errors
/// The system rejects an option.
pub fn set_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// A connection that is shut down when it is dropped, even if other handles to it remain.
#[derive(Debug)]
pub struct GuardedStream(TcpStream);

impl GuardedStream {
    /// Returns the wrapped connection.
    pub fn inner(&self) -> &TcpStream {
        &self.0
    }

    /// Wraps a connection and sets its options.
    ///
    /// # Errors
    /// The system rejects an option.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        let stream = Self(stream);
        set_options(&stream.0, USER_TIMEOUT)?;
        Ok(stream)
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        // This fails only on a connection that is closed already.
        let _closed = self.0.shutdown(Shutdown::Both);
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(context)
    }
}
