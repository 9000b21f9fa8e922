use {
    async_h1::client::{Encoder, decode},
    async_std::{
        future::timeout,
        io::{self, ReadExt},
        net::TcpStream,
    },
    futures::future::{Either, select},
    http_types::{Body, Request, Response, Url},
    std::{net::SocketAddr, pin::pin, time::Duration},
    thiserror::Error,
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a GET request, from connecting to the end of the body.
const GET_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer that is read into memory, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1_048_576;

/// Reason why an exchange produced no answer.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// No connection was opened, so nothing was sent.
    #[error("no connection to the entry ({0})")]
    NotConnected(io::Error),
    /// The request may have been sent in part or whole.
    #[error("the connection broke ({0})")]
    Broken(String),
}

/// Builds the URL of a path at an entry.
pub(crate) fn url(entry: SocketAddr, path: &str) -> Result<Url, ExchangeError> {
    Url::parse(&format!("http://{entry}{path}"))
        .map_err(|error| ExchangeError::Broken(error.to_string()))
}

/// Sends a request over a new connection and reads the head of the response.
pub(crate) async fn send(entry: SocketAddr, request: Request) -> Result<Response, ExchangeError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry))
        .await
        .map_err(|_elapsed| ExchangeError::NotConnected(io::ErrorKind::TimedOut.into()))?
        .map_err(ExchangeError::NotConnected)?;
    let mut writer = stream.clone();
    let mut encoder = Encoder::new(request);
    let sending = pin!(io::copy(&mut encoder, &mut writer));
    let reading = Box::pin(decode(stream));
    // An entry that refuses a long prompt answers before it has read the whole body and then closes the
    // connection: sending fails although the answer has arrived. So the answer is read while sending.
    let answer = match select(sending, reading).await {
        Either::Left((_sent, reading)) => reading.await,
        Either::Right((answer, _sending)) => answer,
    };
    answer.map_err(|error| ExchangeError::Broken(error.to_string()))
}

/// Sends a GET request and returns the status and the body of the response.
pub(crate) async fn get(entry: SocketAddr, path: &str) -> Result<(u16, String), ExchangeError> {
    let request = Request::get(url(entry, path)?);
    let answer = async {
        let mut response = send(entry, request).await?;
        let status = u16::from(response.status());
        Ok((status, read_text(response.take_body()).await?))
    };
    timeout(GET_TIMEOUT, answer)
        .await
        .map_err(|_elapsed| ExchangeError::Broken("the answer timed out".to_owned()))?
}

/// Reads a body to its end. A body that is shorter than its declared length is an error.
pub(crate) async fn read_text(body: Body) -> Result<String, ExchangeError> {
    let declared_length = body.len();
    let mut text = String::new();
    body.take(MAX_ANSWER_BYTES)
        .read_to_string(&mut text)
        .await
        .map_err(|error| ExchangeError::Broken(error.to_string()))?;
    if declared_length.is_some_and(|length| length != text.len()) {
        return Err(ExchangeError::Broken(
            "the answer is shorter than its declared length".to_owned(),
        ));
    }
    Ok(text)
}
