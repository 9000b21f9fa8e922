use {
    super::Gate,
    crate::{
        clock::{Clock, PausedClock},
        targets::connect,
    },
    async_std::net::TcpListener,
    futures::io::{AsyncReadExt, AsyncWriteExt},
    std::sync::Arc,
    whinlatch_core::MonoMs,
};

async fn write_through(gate: &Gate, clock: &PausedClock) -> (bool, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut stream = gate.guard(connect(clock, address).await.unwrap());
    let (mut accepted, _from) = listener.accept().await.unwrap();
    let written = stream.write_all(b"order").await;
    drop(stream);
    let mut received = Vec::new();
    accepted.read_to_end(&mut received).await.unwrap();
    (written.is_ok(), received)
}

#[async_std::test]
async fn a_dispatch_in_time_is_sent() {
    let clock = Arc::new(PausedClock::default());
    let gate = Gate::new(Arc::clone(&clock) as Arc<dyn Clock>, MonoMs(1_000));
    clock.advance(1_000);

    let (written, received) = write_through(&gate, &clock).await;

    assert!(written && gate.may_have_sent());
    assert_eq!(received, b"order");
}

// Guards against a call that runs long after its caller got `not_run` for it: the daemon
// decides to send it, is paused, and resumes after the deadline without checking the time again.
#[async_std::test]
async fn a_dispatch_after_its_send_deadline_is_not_sent() {
    let clock = Arc::new(PausedClock::default());
    let gate = Gate::new(Arc::clone(&clock) as Arc<dyn Clock>, MonoMs(1_000));
    clock.advance(1_001);

    let (written, received) = write_through(&gate, &clock).await;

    assert!(!written && !gate.may_have_sent());
    assert_eq!(received, b"");
}
