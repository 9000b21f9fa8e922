use {
    crate::{
        clock::timeout,
        entry::{
            entry_state::EntryState,
            target_connection::{TargetConnection, TargetFault},
        },
        targets::connect_within,
    },
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    whinlatch_platform::StoreFault,
};

/// Time for a connection to the store, in ms: a hundred times the usual one.
const CONNECT_MS: u64 = 400;
/// The same for an instance that starts and knows nothing yet, in ms. A first packet that is dropped is
/// sent again only after a second.
const STARTING_CONNECT_MS: u64 = 120;
/// Time that bytes sent to the store may stay without an acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);

/// Why the store's answer can't be had.
#[derive(Debug, Error)]
pub enum ReadFault {
    /// It takes no connection.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// It doesn't answer.
    #[error("no answer in time")]
    Silent,
    /// It may answer, but peers were told more.
    #[error("peers know more than the watch told")]
    Behind,
    /// It refuses.
    #[error("status {0}")]
    Status(u16),
    /// The connection broke, or what came on it is no answer.
    #[error("{0}")]
    Connection(#[from] TargetFault),
    /// The answer holds something else than was asked for.
    #[error("{0}")]
    Content(#[from] StoreFault),
}

/// What a call asks for.
#[derive(Debug, Clone, Copy)]
pub enum CallKind {
    /// The configuration.
    Configuration,
    /// A page of the targets.
    Page,
    /// What changes.
    Watch,
}

impl CallKind {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Page => "page",
            Self::Watch => "watch",
        }
    }
}

/// Calls of the store, on one connection after the other.
pub struct StoreCalls<'a> {
    state: &'a EntryState,
    connection: Option<TargetConnection>,
}

impl<'a> StoreCalls<'a> {
    /// There is no connection yet.
    pub fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            connection: None,
        }
    }

    /// Whether the instance started a moment ago and knows nothing yet.
    pub fn is_starting(&self) -> bool {
        self.state.is_starting() && !self.state.serving().is_ready()
    }

    /// A call. A connection on which anything goes wrong isn't used again.
    pub async fn get(&mut self, target: &str, within_ms: u64) -> Result<Vec<u8>, ReadFault> {
        let clock = self.state.clock.as_ref();
        let address = self.state.settings.store_address;
        let mut connection = if let Some(connection) = self.connection.take() {
            connection
        } else {
            let connect_ms = if self.is_starting() {
                STARTING_CONNECT_MS
            } else {
                CONNECT_MS
            };
            let opened = connect_within(clock, address, connect_ms, UNACKNOWLEDGED);
            TargetConnection::new(opened.await?)
        };
        let called = call(&mut connection, target, address);
        let (status, is_kept, body) = timeout(clock, within_ms, called)
            .await
            .ok_or(ReadFault::Silent)??;
        if is_kept && connection.is_reusable() {
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
    let (head, body) = connection.exchange("GET", request.as_bytes()).await?;
    Ok((head.status, head.is_kept, body))
}
