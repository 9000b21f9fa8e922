//! Opens the listening sockets of the settings.

use {crate::errors::DaemonError, async_std::net::TcpListener, std::net::SocketAddr};

/// Listens on an address. Port 0 selects a free port, which is written back to `address`.
///
/// # Errors
/// [`DaemonError::Listen`] if the address is in use or doesn't belong to this instance.
pub async fn listen(address: &mut SocketAddr) -> Result<TcpListener, DaemonError> {
    let configured = *address;
    let failed = |source| DaemonError::Listen {
        address: configured,
        source,
    };
    let listener = TcpListener::bind(configured).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
