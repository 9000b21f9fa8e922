use {
    super::connect::GuardedStream,
    crate::clock::Clock,
    futures::io::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
    },
    whinlatch_core::MonoMs,
};

/// Lets the first byte of a dispatch through only until a moment, and tells whether it passed.
///
/// Guards against a process that is paused between a decision and its execution: it wakes up late
/// and would send what was decided on an old view, maybe past the deadline. The clock is read where
/// the byte is written, so that no pause fits in before.
#[derive(Debug, Clone)]
pub struct Gate {
    clock: Arc<dyn Clock>,
    send_before: MonoMs,
    written: Arc<AtomicBool>,
}

impl Gate {
    /// A gate that closes at `send_before`.
    pub fn new(clock: Arc<dyn Clock>, send_before: MonoMs) -> Self {
        Self {
            clock,
            send_before,
            written: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Whether a byte may have been written.
    pub fn passed(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Puts the gate before a connection.
    pub fn guard(&self, stream: GuardedStream) -> GatedStream {
        GatedStream {
            gate: self.clone(),
            stream,
        }
    }

    fn pass(&self) -> io::Result<()> {
        if self.passed() {
            return Ok(());
        }
        if self.clock.now() > self.send_before {
            let message = "the dispatch has gone stale: decide anew";
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        self.written.store(true, Ordering::SeqCst);
        Ok(())
    }
}

/// A connection behind a [`Gate`].
#[derive(Debug)]
pub struct GatedStream {
    gate: Gate,
    stream: GuardedStream,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.pass()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

#[cfg(test)]
#[path = "gate_test.rs"]
mod tests;
