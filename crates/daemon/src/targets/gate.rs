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

/// Rejects the first write of a dispatch after its `send_before`, and records whether any byte may
/// have been sent.
///
/// Guards against a process that is paused between a decision and its execution: after it resumes,
/// it would send a dispatch that was decided on outdated state, possibly past the deadline. The
/// clock is read immediately before the write, so that no other step can be delayed in between.
#[derive(Debug, Clone)]
pub struct Gate {
    clock: Arc<dyn Clock>,
    send_before: MonoMs,
    written: Arc<AtomicBool>,
}

impl Gate {
    /// Creates a gate that closes after `send_before`.
    pub fn new(clock: Arc<dyn Clock>, send_before: MonoMs) -> Self {
        Self {
            clock,
            send_before,
            written: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Returns whether a byte may have been sent.
    pub fn may_have_sent(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Returns whether no byte was sent and none will be, because the time to send has passed.
    pub fn is_closed(&self) -> bool {
        !self.may_have_sent() && self.clock.now() > self.send_before
    }

    /// Wraps a connection, whose writes are checked from then on.
    pub fn guard(&self, stream: GuardedStream) -> GatedStream {
        GatedStream {
            gate: self.clone(),
            stream,
        }
    }

    fn check(&self) -> io::Result<()> {
        if self.may_have_sent() {
            return Ok(());
        }
        if self.is_closed() {
            let message = "the time to send this dispatch has passed: decide again";
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        self.written.store(true, Ordering::SeqCst);
        Ok(())
    }
}

/// A connection whose writes a [`Gate`] checks.
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
        self.gate.check()?;
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
