use {
    super::hangup::hangup,
    crate::clock::{Clock, timeout},
    async_h1::server::Encoder,
    async_std::net::TcpStream,
    futures::{
        future::{Either, select},
        io::{AsyncReadExt, AsyncWriteExt},
        pin_mut,
    },
    http_types::{Method, Response},
    std::io,
};

/// Size of the pieces in which an answer is written, in bytes.
const PIECE_BYTES: usize = 4_096;

/// Writes an answer. Fails early if the caller disconnects or doesn't accept a piece within
/// `piece_timeout_ms`: a caller that reads nothing must not hold memory indefinitely.
///
/// # Errors
/// The answer wasn't written completely.
pub async fn write_answer(
    clock: &dyn Clock,
    stream: &TcpStream,
    response: Response,
    method: Method,
    piece_timeout_ms: u64,
) -> io::Result<()> {
    let written = write_pieces(
        clock,
        stream,
        Encoder::new(response, method),
        piece_timeout_ms,
    );
    let gone = hangup(stream);
    pin_mut!(written, gone);
    match select(written, gone).await {
        Either::Left((written, _)) => written,
        Either::Right(((), _)) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

async fn write_pieces(
    clock: &dyn Clock,
    stream: &TcpStream,
    mut encoder: Encoder,
    piece_timeout_ms: u64,
) -> io::Result<()> {
    let mut stream = stream;
    let mut piece = [0_u8; PIECE_BYTES];
    loop {
        let length = encoder.read(&mut piece).await?;
        if length == 0 {
            return Ok(());
        }
        timeout(clock, piece_timeout_ms, stream.write_all(&piece[..length]))
            .await
            .ok_or(io::ErrorKind::TimedOut)??;
    }
}

#[cfg(test)]
#[path = "write_answer_test.rs"]
mod tests;
