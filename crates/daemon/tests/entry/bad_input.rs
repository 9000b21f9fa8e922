//! Malformed, contradictory and too large requests.

use {
    super::fixture::{World, target, world},
    whinlatch_platform_standins::{
        Behaviour, CallerRequest, HOST, KEY, SAFE_PREFIX,
        names::{DEADLINE_HEADER, REQUEST_ID_HEADER, TOKENS_HEADER},
    },
};

async fn plain_world() -> (World, whinlatch_platform_standins::TargetStandin) {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    (world, plain)
}

fn status_of(world: &World, text: &str) -> u16 {
    let mut caller = world.connect();
    caller.write(text);
    caller.read().expect("an answer comes").status
}

fn head(lines: &str) -> String {
    format!(
        "POST {SAFE_PREFIX}x HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID_HEADER}: 1\r\n\
         Authorization: Token {KEY}\r\n{lines}\r\n"
    )
}

/// Guards against request smuggling: a request hidden in the body of another one whose end two parsers
/// find at different places.
#[async_std::test]
async fn requests_with_ambiguous_framing_are_refused() {
    let (world, plain) = plain_world().await;
    let hidden = [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Content-Length: +4\r\n",
        "Content-Length : 4\r\n",
        "X-A: b\nContent-Length: 4\r\n",
        "Host: other.example\r\n",
    ];

    for lines in hidden {
        let status = status_of(&world, &head(lines));
        assert!(status == 400 || status == 501, "{lines:?}: {status}");
    }

    assert!(plain.arrivals().is_empty());
}

#[async_std::test]
async fn malformed_chunks_are_refused() {
    let (world, plain) = plain_world().await;
    let bodies = [
        "4\r\nabcdef\r\n0\r\n\r\n",
        "zz\r\n",
        "4\nabcd\n0\n\n",
        "-1\r\n",
    ];

    for body in bodies {
        let text = format!("{}{body}", head("Transfer-Encoding: chunked\r\n"));
        assert_eq!(status_of(&world, &text), 400, "{body:?}");
    }

    assert!(plain.arrivals().is_empty());
}

#[async_std::test]
async fn a_chunked_body_arrives_completely() {
    let (world, plain) = plain_world().await;
    let text = format!(
        "{}3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n")
    );

    assert_eq!(status_of(&world, &text), 200);
    assert_eq!(plain.arrivals()[0].body, b"abcde");
}

#[async_std::test]
async fn too_large_requests_are_refused_and_smaller_ones_served() {
    let (world, plain) = plain_world().await;
    let fitting = format!("X-Long: {}\r\n", "a".repeat(15_000));
    let long = format!("X-Long: {}\r\n", "a".repeat(17_000));
    let large = format!("Content-Length: {}\r\n", 65_537);

    assert_eq!(status_of(&world, &head(&fitting)), 200);
    assert_eq!(status_of(&world, &head(&long)), 431);
    assert_eq!(status_of(&world, &head(&large)), 413);
    assert_eq!(plain.arrivals().len(), 1);
}

#[async_std::test]
async fn requests_with_unreadable_or_missing_headers_are_refused() {
    let (world, plain) = plain_world().await;
    let deadline = CallerRequest {
        extra_headers: vec![(DEADLINE_HEADER, "soon".to_owned())],
        ..CallerRequest::new("GET", format!("{SAFE_PREFIX}x"))
    };
    let tokens = CallerRequest {
        extra_headers: vec![(TOKENS_HEADER, "many".to_owned())],
        ..CallerRequest::new("GET", format!("{SAFE_PREFIX}x"))
    };
    let no_id = format!("GET {SAFE_PREFIX}x HTTP/1.1\r\nHost: {HOST}\r\n\r\n");

    assert_eq!(world.exchange(&deadline).status, 400);
    assert_eq!(world.exchange(&tokens).status, 400);
    assert_eq!(status_of(&world, &no_id), 400);
    assert!(plain.arrivals().is_empty());
}

#[async_std::test]
async fn malformed_requests_are_answered_and_the_instance_keeps_serving() {
    let (world, _plain) = plain_world().await;

    assert_eq!(status_of(&world, "\u{1}\u{2}\u{3}\r\n\r\n"), 400);
    assert_eq!(status_of(&world, "GET * HTTP/1.1\r\nHost: x\r\n\r\n"), 400);

    let served = world.exchange(&CallerRequest::new("GET", format!("{SAFE_PREFIX}x")));
    assert_eq!(served.status, 200);
}
