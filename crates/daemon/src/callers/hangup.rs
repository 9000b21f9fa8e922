use async_std::net::TcpStream;

/// Waits until the caller closes its connection. Once the caller has sent more bytes, this never
/// ends: a later disconnect is noticed when the answer is written.
pub async fn hangup(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_more_bytes) => futures::future::pending().await,
    }
}
