//! Encoding of frames between instances, and links on which undecodable messages arrive.

use {
    super::fixture::start_with_clock,
    async_std::net::TcpStream,
    async_tungstenite::{WebSocketStream, client_async, tungstenite::Message},
    futures::StreamExt,
    std::{net::SocketAddr, sync::Arc},
    whinlatch_daemon::{
        clock::{Clock, PausedClock},
        entry::{decode_frame, encode_frame},
    },
    whinlatch_serving::fleet::{Frame, Member, PublishedText, Roster, RosterRows},
};

/// Number of routes of a large configuration.
const ROUTES: usize = 1_400;

fn configured(routes: usize) -> Frame {
    let route = |number| format!("{{\"Prefix\":\"/lohu{number}/2f/\",\"TimeoutMs\":10000}},");
    let text = (0..routes).map(route).collect();
    Frame {
        configuration: Some(PublishedText { version: 7, text }),
        ..Frame::default()
    }
}

/// Guards against placements that wait most of a second behind a large configuration on the links of the
/// deciders.
#[test]
fn a_large_configuration_is_compressed_below_a_quarter() {
    let frame = configured(ROUTES);
    let text_bytes = frame.configuration.as_ref().unwrap().text.len();

    let bytes = encode_frame(&frame).unwrap();

    assert!(bytes.len() < text_bytes / 4, "{} bytes", bytes.len());
    assert_eq!(decode_frame(&bytes).unwrap(), frame);
}

#[test]
fn a_small_frame_decodes_to_what_was_encoded() {
    let frame = configured(1);

    let bytes = encode_frame(&frame).unwrap();

    assert_eq!(decode_frame(&bytes).unwrap(), frame);
}

/// A frame with the compact roster of many instances.
fn rostered(instances: u16) -> Frame {
    let listed = (0..instances).map(|number| Member {
        run: u64::from(number),
        failure_domain: format!("domain-{}", number % 3).into(),
        caller_address: ([10, 0, 0, 1], number).into(),
        peer_address: ([10, 0, 0, 2], number).into(),
        cpu_millis: 120,
        heartbeat_interval_ms: 500,
        version: 7,
        revision: 1_000,
        ready: number % 2 == 0,
        leaving: false,
        stated_at_ms: u64::from(number),
        reads_rows: true,
    });
    let roster = Roster {
        listed: listed.collect(),
        gone: vec!["[fd00::1]:80".parse().unwrap()],
        ..Roster::default()
    };
    Frame {
        roster_rows: Some(RosterRows::from(&roster)),
        ..Frame::default()
    }
}

/// Guards against a hub whose roster no peer can read, so that instances know nobody but hubs.
#[test]
fn a_compact_roster_decodes_to_what_was_encoded() {
    for instances in [1, 600] {
        let frame = rostered(instances);

        let bytes = encode_frame(&frame).unwrap();

        assert_eq!(decode_frame(&bytes).unwrap(), frame);
    }
}

#[test]
fn a_truncated_frame_is_an_error() {
    let frames = [
        configured(1),
        configured(ROUTES),
        rostered(1),
        rostered(600),
    ];
    for frame in frames {
        let bytes = encode_frame(&frame).unwrap();

        let fault = decode_frame(&bytes[..bytes.len() / 2]).unwrap_err();

        assert!(fault.to_string().contains("can't be read"));
    }
}

/// Guards against a faulty peer whose small frame decompresses to gigabytes, so that the process is killed for
/// its memory.
#[test]
fn a_frame_that_decompresses_beyond_the_limit_is_an_error() {
    let text = "x".repeat(8 * 1_024 * 1_024);
    let frame = Frame {
        configuration: Some(PublishedText { version: 7, text }),
        ..Frame::default()
    };
    let bytes = encode_frame(&frame).unwrap();

    let fault = decode_frame(&bytes).unwrap_err();

    assert!(bytes.len() < 64 * 1_024);
    assert!(fault.to_string().contains("can't be read"));
}

/// Guards against a link that stays open, or an instance that crashes, after a faulty peer or one of another
/// build has sent bytes that are no frame.
#[async_std::test]
async fn a_link_with_an_undecodable_message_is_closed_and_others_open() {
    let clock = Arc::new(PausedClock::default()) as Arc<dyn Clock>;
    let entry = start_with_clock("127.0.0.1:9".parse().unwrap(), &[], clock).await;
    let peer = entry.settings().peer_address;
    let mut link = link_to(peer).await;

    link.send(Message::Binary(b"no frame".to_vec().into()))
        .await
        .unwrap();

    while link.next().await.is_some_and(|message| message.is_ok()) {}
    link_to(peer).await;
}

async fn link_to(peer: SocketAddr) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(peer).await.unwrap();
    let opened = client_async(format!("ws://{peer}/"), stream).await;
    opened.unwrap().0
}
