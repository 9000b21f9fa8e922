//! Calls from one fake to another.

use {
    async_std::net::TcpStream,
    http_types::{Method, Request, StatusCode, Url},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

/// Reads a JSON answer from another fake; `None` if there is none for whatever reason.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    let mut response = async_h1::connect(stream, Request::new(Method::Get, url))
        .await
        .ok()?;
    if response.status() != StatusCode::Ok {
        return None;
    }
    response.body_json().await.ok()
}
