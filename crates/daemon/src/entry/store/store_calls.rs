use {
    crate::{
        clock::timeout,
        entry::{
            answer_limits::MAX_STORE_BYTES,
            entry_state::EntryState,
            target_connection::{TargetConnection, TargetFault},
        },
        targets::connect_within,
    },
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    whinlatch_platform::StoreFault,
};

/// Timeout for opening a connection to the store, in ms: a hundred times the usual duration.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// The same for an instance that starts and has no state yet, in ms. A dropped first packet is retransmitted
/// only after a second, so a new connection is faster.
const STARTING_CONNECT_TIMEOUT_MS: u64 = 120;
/// Time that bytes sent to the store may stay unacknowledged before the connection is taken as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a call to the store failed.
#[derive(Debug, Error)]
pub enum ReadFault {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The answer timed out.
    #[error("no answer in time")]
    Silent,
    /// The call was abandoned, since peers know a later revision than the watch has returned.
    #[error("peers know a later revision than the watch returned")]
    Lagging,
    /// The store answered with an error status.
    #[error("status {0}")]
    Status(u16),
    /// The connection broke, or the answer isn't HTTP.
    #[error("{0}")]
    Connection(#[from] TargetFault),
    /// The body of the answer can't be read.
    #[error("{0}")]
    Content(#[from] StoreFault),
}

/// Kind of a call to the store.
#[derive(Debug, Clone, Copy)]
pub enum CallKind {
    /// Read of the configuration and the evacuations.
    Configuration,
    /// Read of a page of the targets.
    Page,
    /// Watch for changes since a revision.
    Watch,
}

impl CallKind {
    /// Returns the label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Page => "page",
            Self::Watch => "watch",
        }
    }
}

/// Client of the store, with one connection that is reused while it works.
pub struct StoreCalls<'a> {
    state: &'a EntryState,
    connection: Option<TargetConnection>,
}

impl<'a> StoreCalls<'a> {
    /// Creates a client without a connection.
    pub fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            connection: None,
        }
    }

    /// Returns whether the instance started recently and isn't ready yet.
    pub fn is_starting(&self) -> bool {
        self.state.is_starting() && !self.state.serving().is_ready()
    }

    /// Sends a GET and returns the body. `timeout_ms` doesn't include opening a connection. A connection on
    /// which a call failed isn't reused.
    pub async fn get(&mut self, target: &str, timeout_ms: u64) -> Result<Vec<u8>, ReadFault> {
        let clock = self.state.clock.as_ref();
        let address = self.state.settings.store_address;
        let mut connection = if let Some(connection) = self.connection.take() {
            connection
        } else {
            let connect_ms = if self.is_starting() {
                STARTING_CONNECT_TIMEOUT_MS
            } else {
                CONNECT_TIMEOUT_MS
            };
            let opened = connect_within(clock, address, connect_ms, UNACKNOWLEDGED_TIMEOUT);
            TargetConnection::new(opened.await?)
        };
        let called = call(&mut connection, target, address);
        let (status, keeps_alive, body) = timeout(clock, timeout_ms, called)
            .await
            .ok_or(ReadFault::Silent)??;
        if keeps_alive && connection.is_reusable() {
            self.connection = Some(connection);
        }
        if status != 200 {
            return Err(ReadFault::Status(status));
        }
        Ok(body)
    }
}

async fn call(
    connection: &mut TargetConnection,
    target: &str,
    host: SocketAddr,
) -> Result<(u16, bool, Vec<u8>), TargetFault> {
    let request = format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    let (head, body) = connection
        .exchange("GET", request.as_bytes(), MAX_STORE_BYTES)
        .await?;
    Ok((head.status, head.keeps_alive, body))
}
