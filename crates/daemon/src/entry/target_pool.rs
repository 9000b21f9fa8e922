use {
    super::target_connection::TargetConnection,
    crate::{clock::Clock, targets::connect_within},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    whinlatch_core::MonoMs,
};

/// Timeout for opening a connection to a target, in ms. Round trips take some 2 ms and targets accept
/// within 1 ms; a target that is powered off is skipped while the caller still waits.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time that bytes sent to a target may stay unacknowledged before the connection is taken as broken. A target that was
/// silent for a second acknowledges them after their third retransmission, 1.4 s after they were sent.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time up to which a connection is reused if the target's answer has no `Keep-Alive` timeout, in ms.
const DEFAULT_KEEP_ALIVE_MS: u64 = 600;
/// Time before the end of the target's `Keep-Alive` timeout at which a connection is no longer reused, in
/// ms: the target's close may already be in flight.
const KEEP_ALIVE_MARGIN_MS: u64 = 400;
/// Idle connections kept per target.
const MAX_IDLE_CONNECTIONS: usize = 24;

#[derive(Debug)]
struct Idle {
    connection: TargetConnection,
    expires_at: MonoMs,
}

/// Idle connections to targets, kept for reuse: opening one briefly takes a slot of the target and costs
/// both sides CPU time.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl TargetPool {
    /// Takes an idle connection that the target should still keep open; `None` if there is none.
    pub fn take(&self, now: MonoMs, address: SocketAddr) -> Option<TargetConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.expires_at > now && !idle.connection.is_stale() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The connection is refused or times out. Nothing was sent.
    pub async fn open(
        &self,
        clock: &dyn Clock,
        address: SocketAddr,
    ) -> io::Result<TargetConnection> {
        let stream =
            connect_within(clock, address, CONNECT_TIMEOUT_MS, UNACKNOWLEDGED_TIMEOUT).await?;
        Ok(TargetConnection::new(stream))
    }

    /// Keeps a connection for reuse. `keep_alive_ms` is the target's `Keep-Alive` timeout, if it sent one.
    pub fn put(
        &self,
        now: MonoMs,
        address: SocketAddr,
        mut connection: TargetConnection,
        keep_alive_ms: Option<u64>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let reuse_ms = keep_alive_ms.map_or(DEFAULT_KEEP_ALIVE_MS, |ms| {
            ms.saturating_sub(KEEP_ALIVE_MARGIN_MS)
        });
        connection.is_reused = true;
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(Idle {
                connection,
                expires_at: now + reuse_ms,
            });
        }
    }

    /// Closes connections that are too old for reuse.
    pub fn evict_expired(&self, now: MonoMs) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.expires_at > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
