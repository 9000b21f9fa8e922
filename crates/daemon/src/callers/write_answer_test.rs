use {
    super::write_answer,
    crate::clock::PausedClock,
    async_std::{
        net::{TcpListener, TcpStream},
        task,
    },
    futures::{FutureExt, io::repeat, pin_mut},
    http_types::{Body, Method, Response, StatusCode},
    std::io::ErrorKind,
};

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (accepted, _from) = listener.accept().await.unwrap();
    (caller.unwrap(), accepted)
}

fn endless_answer() -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let body = futures::io::BufReader::new(repeat(b'x'));
    response.set_body(Body::from_reader(body, None));
    response
}

// Operators see memory grow with each caller that doesn't read its answer.
// The caller stays connected and takes nothing. Cause: a write is waited on without end.
#[async_std::test]
async fn a_caller_that_takes_nothing_is_given_up() {
    let (_caller, accepted) = connection().await;
    let clock = PausedClock::default();
    let written = write_answer(&clock, &accepted, endless_answer(), Method::Get, 1_000);
    pin_mut!(written);

    // Pieces go out until the system's buffers are full; from then on only time goes on.
    let end = loop {
        match written.as_mut().now_or_never() {
            Some(end) => break end,
            None => clock.advance(500),
        }
        task::yield_now().await;
    };

    assert_eq!(end.unwrap_err().kind(), ErrorKind::TimedOut);
}

#[async_std::test]
async fn a_caller_that_goes_away_ends_the_answer() {
    let (caller, accepted) = connection().await;
    let clock = PausedClock::default();
    drop(caller);

    let end = write_answer(&clock, &accepted, endless_answer(), Method::Get, 1_000).await;

    assert!(end.is_err());
}
