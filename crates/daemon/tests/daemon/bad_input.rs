//! Invalid requests are refused with a message that states the remedy.

use {
    super::{
        client::{FullAnswer, completion, label_call, send_and_read, send_raw},
        fixture::{MODEL, fast_engine, world},
    },
    http_types::Request,
    whinlatch_daemon::app::Daemon,
    whinlatch_wire::caller::{ACCOUNT_HEADER, DEADLINE_HEADER, OutcomeKind, Reason},
};

async fn daemon() -> (super::fixture::World, Daemon) {
    let world = world(1, fast_engine()).await;
    let mut settings = world.settings("one");
    settings.limits.max_body_bytes = 10_000;
    settings.limits.max_header_bytes = 2_000;
    let daemon = world.daemon(settings).await;
    (world, daemon)
}

async fn refused(change: impl FnOnce(&mut Request)) -> FullAnswer {
    let (world, daemon) = daemon().await;
    let mut request = completion(&daemon, "prompt");
    change(&mut request);
    let answer = send_and_read(&daemon, request).await;
    assert!(world.engines[0].stats().runs_by_attempt.is_empty());
    answer
}

fn assert_refused(answer: &FullAnswer, status: u16, reason: Reason, remedy: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.outcome.outcome, OutcomeKind::NotRun);
    assert_eq!(answer.outcome.reason, reason);
    let message = &answer.outcome.message;
    assert!(message.contains(remedy), "{message}");
}

#[async_std::test]
async fn invalid_json_is_reported() {
    let answer = refused(|request| request.set_body("{\"model\": ")).await;
    assert_refused(&answer, 400, Reason::BadRequest, "correct it");
}

#[async_std::test]
async fn a_missing_field_is_reported() {
    let answer = refused(|request| request.set_body("{\"model\": \"assistant\"}")).await;
    assert_refused(&answer, 400, Reason::BadRequest, "prompt");
}

#[async_std::test]
async fn out_of_range_numbers_are_reported() {
    for max_tokens in ["-1", "0", "1e99", "99999999999", "\"many\""] {
        let body =
            format!("{{\"model\": \"{MODEL}\", \"prompt\": \"p\", \"max_tokens\": {max_tokens}}}");
        let answer = refused(|request| request.set_body(body)).await;
        assert_refused(&answer, 400, Reason::BadRequest, "");
    }
}

#[async_std::test]
async fn a_request_for_an_answer_that_is_not_streamed_is_refused() {
    let body = format!("{{\"model\": \"{MODEL}\", \"prompt\": \"p\", \"stream\": false}}");
    let answer = refused(|request| request.set_body(body)).await;
    assert_refused(&answer, 400, Reason::BadRequest, "`stream`");
}

#[async_std::test]
async fn a_body_over_the_limit_is_refused_without_being_read() {
    let body = "x".repeat(2_000_000);
    let answer = refused(|request| request.set_body(body)).await;
    assert_refused(&answer, 413, Reason::TooLarge, "10000 bytes");
}

#[async_std::test]
async fn a_chunked_body_over_the_limit_is_refused() {
    let (_world, daemon) = daemon().await;
    let mut bytes = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: \
                      application/json\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_vec();
    for _ in 0..11 {
        bytes.extend_from_slice(b"3e8\r\n");
        bytes.extend_from_slice(&[b'x'; 1_000]);
        bytes.extend_from_slice(b"\r\n");
    }
    let answer = send_raw(&daemon, &bytes).await;
    assert_refused(&answer, 413, Reason::TooLarge, "10000 bytes");
}

#[async_std::test]
async fn a_truncated_body_is_reported() {
    use async_std::{io::WriteExt, net::TcpStream};
    let (_world, daemon) = daemon().await;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.unwrap();
    let bytes = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{\"mod";
    stream.write_all(bytes).await.unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();

    let response = async_h1::client::decode(stream).await.unwrap();

    let answer = super::client::read_answer(response).await;
    assert_refused(&answer, 400, Reason::BadRequest, "send all of it");
}

#[async_std::test]
async fn a_wrong_content_type_is_reported() {
    let answer = refused(|request| {
        request.insert_header("content-type", "text/plain");
    })
    .await;
    assert_refused(&answer, 415, Reason::BadRequest, "application/json");
}

#[async_std::test]
async fn a_missing_account_is_reported() {
    let answer = refused(|request| {
        request.remove_header(ACCOUNT_HEADER);
    })
    .await;
    assert_refused(&answer, 400, Reason::BadRequest, ACCOUNT_HEADER);
}

#[async_std::test]
async fn an_unknown_account_is_refused() {
    let answer = refused(|request| {
        request.insert_header(ACCOUNT_HEADER, "nobody");
    })
    .await;
    assert_refused(&answer, 401, Reason::Unauthorized, "check both");
}

#[async_std::test]
async fn a_wrong_key_is_refused() {
    let answer = refused(|request| {
        request.insert_header("authorization", "Bearer wrong");
    })
    .await;
    assert_refused(&answer, 401, Reason::Unauthorized, "check both");
}

#[async_std::test]
async fn an_unknown_model_is_reported() {
    let answer = refused(|request| request.set_body("{\"model\": \"m\", \"prompt\": \"p\"}")).await;
    assert_refused(&answer, 404, Reason::UnknownModel, "check its name");
}

#[async_std::test]
async fn a_missing_or_invalid_deadline_is_reported() {
    for deadline in [
        None,
        Some("-5"),
        Some("0"),
        Some("soon"),
        Some("99999999999999999999"),
    ] {
        let answer = refused(|request| match deadline {
            Some(text) => drop(request.insert_header(DEADLINE_HEADER, text)),
            None => drop(request.remove_header(DEADLINE_HEADER)),
        })
        .await;
        assert_refused(&answer, 400, Reason::BadDeadline, "");
    }
}

#[async_std::test]
async fn an_invalid_ticket_is_reported() {
    let (_world, daemon) = daemon().await;
    let mut request = label_call(&daemon, "parcel", None);
    request.insert_header("whinlatch-ticket", "7");
    let answer = send_and_read(&daemon, request).await;
    assert_refused(&answer, 400, Reason::BadRequest, "428 response");
}

#[async_std::test]
async fn a_head_over_the_limit_is_refused() {
    let answer = refused(|request| {
        request.insert_header("x-long", "x".repeat(50_000));
    })
    .await;
    assert_refused(&answer, 431, Reason::TooLarge, "2000 bytes");
}

#[async_std::test]
async fn too_many_header_fields_are_refused() {
    let (_world, daemon) = daemon().await;
    let fields = "a: b\r\n".repeat(200);
    let bytes = format!("GET /v1/entries HTTP/1.1\r\nhost: x\r\n{fields}\r\n");
    let answer = send_raw(&daemon, bytes.as_bytes()).await;
    assert_refused(&answer, 431, Reason::TooLarge, "at most 128");
}

#[async_std::test]
async fn bytes_that_are_not_http_are_refused() {
    let (_world, daemon) = daemon().await;
    let answer = send_raw(&daemon, b"\x16\x03\x01 hello\r\n\r\n").await;
    assert_refused(&answer, 400, Reason::BadRequest, "HTTP/1.1");
}

#[async_std::test]
async fn an_unknown_path_and_a_wrong_method_are_reported() {
    let (_world, daemon) = daemon().await;
    let unknown = send_raw(&daemon, b"GET /v2 HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let method = send_raw(&daemon, b"GET /v1/completions HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_refused(&unknown, 404, Reason::BadRequest, "/v1/completions");
    assert_refused(&method, 405, Reason::BadRequest, "POST completions");
}
