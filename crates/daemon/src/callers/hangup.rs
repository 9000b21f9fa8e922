use async_std::net::TcpStream;

/// Waits until the caller closes its connection. A caller that has sent more meanwhile is still
/// there; whether it goes away after that shows when the answer is written.
pub async fn hangup(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_more) => futures::future::pending().await,
    }
}
