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

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a whole lookup or report.
const GET_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1_048_576;

/// Why an exchange has no answer.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// Nothing was sent.
    #[error("no connection to the entry ({0})")]
    NotConnected(io::Error),
    /// Something may have been sent.
    #[error("the connection broke ({0})")]
    Broken(String),
}

/// Address of a path at an entry.
pub(crate) fn url(entry: SocketAddr, path: &str) -> Result<Url, ExchangeError> {
    Url::parse(&format!("http://{entry}{path}"))
        .map_err(|error| ExchangeError::Broken(error.to_string()))
}

/// Sends a request over a connection of its own and reads the head of the answer.
pub(crate) async fn send(entry: SocketAddr, request: Request) -> Result<Response, ExchangeError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry))
        .await
        .map_err(|_late| ExchangeError::NotConnected(io::ErrorKind::TimedOut.into()))?
        .map_err(ExchangeError::NotConnected)?;
    let mut writer = stream.clone();
    let mut encoder = Encoder::new(request);
    let sending = pin!(io::copy(&mut encoder, &mut writer));
    let reading = Box::pin(decode(stream));
    // An entry that refuses a long prompt answers before it has read it all, and then closes:
    // sending fails, although the answer is there. So the answer is read while sending goes on.
    let answer = match select(sending, reading).await {
        Either::Left((_sent, reading)) => reading.await,
        Either::Right((answer, _sending)) => answer,
    };
    answer.map_err(|error| ExchangeError::Broken(error.to_string()))
}

/// Reads a path; status and text of the answer.
pub(crate) async fn get(entry: SocketAddr, path: &str) -> Result<(u16, String), ExchangeError> {
    let request = Request::get(url(entry, path)?);
    let answer = async {
        let mut response = send(entry, request).await?;
        let status = u16::from(response.status());
        Ok((status, read_text(response.take_body()).await?))
    };
    timeout(GET_TIMEOUT, answer)
        .await
        .map_err(|_late| ExchangeError::Broken("no answer in time".to_owned()))?
}

/// Reads a body to its end. One that is shorter than stated is not whole.
pub(crate) async fn read_text(body: Body) -> Result<String, ExchangeError> {
    let stated = body.len();
    let mut text = String::new();
    body.take(MAX_ANSWER_BYTES)
        .read_to_string(&mut text)
        .await
        .map_err(|error| ExchangeError::Broken(error.to_string()))?;
    if stated.is_some_and(|length| length != text.len()) {
        return Err(ExchangeError::Broken("the answer was cut off".to_owned()));
    }
    Ok(text)
}
