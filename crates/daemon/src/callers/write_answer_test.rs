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

// Guards against memory that grows with each caller that stays connected but doesn't read its answer,
// because a write has no time limit.
#[async_std::test]
async fn the_answer_to_a_caller_that_reads_nothing_times_out() {
    let (_caller, accepted) = connection().await;
    let clock = PausedClock::default();
    let written = write_answer(&clock, &accepted, endless_answer(), Method::Get, 1_000);
    pin_mut!(written);

    // Pieces are written until the socket buffers are full; from then on only the clock advances.
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
async fn a_caller_that_disconnects_ends_the_answer() {
    let (caller, accepted) = connection().await;
    let clock = PausedClock::default();
    drop(caller);

    let end = write_answer(&clock, &accepted, endless_answer(), Method::Get, 1_000).await;

    assert!(end.is_err());
}
