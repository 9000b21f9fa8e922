use {
    async_std::net::TcpStream,
    futures::{AsyncRead, future::poll_fn, ready},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Limit for the bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// Buffer of received bytes that haven't been consumed.
#[derive(Debug, Default)]
pub struct Input {
    bytes: Vec<u8>,
}

impl Input {
    /// Returns the bytes that haven't been consumed.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Reads more bytes. Returns their number, 0 at the end of the connection. Cancel safe: no bytes are lost
    /// if the future is dropped.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context, stream)).await
    }

    /// Polls [`Self::fill`]. The read buffer is on the stack, so that a waiting connection occupies no memory
    /// for it.
    pub fn poll_fill(
        &mut self,
        context: &mut Context<'_>,
        mut stream: &TcpStream,
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        let count = ready!(Pin::new(&mut stream).poll_read(context, &mut bytes))?;
        self.push(&bytes[..count]);
        Poll::Ready(Ok(count))
    }
}
