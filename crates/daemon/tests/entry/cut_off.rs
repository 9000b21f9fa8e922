//! An instance that reaches no target, while callers, the store and another instance reach it.

use {
    super::fixture::{get, start, target, until, world},
    socket2::{Domain, Socket, Type},
    std::net::{SocketAddr, TcpStream},
    whinlatch_daemon::entry::Entry,
    whinlatch_platform_standins::{
        AnswerEnd, AnswerFraming, Behaviour, CALL_PREFIX, Caller, CallerRequest, CallerResponse,
        ConnectionEnd, ENGINES, FEED_PREFIX, Fixture, PLAIN, SAFE_PREFIX, STREAM_PREFIX,
        StoreStandin, TargetStandin, names::LAST_EVENT_HEADER,
    },
    whinlatch_standins::{Relay, RelayOptions, relay::RelayMode},
};

/// How connections of the cut instance to targets fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    Refused,
    Silent,
}

/// An address at which no target answers.
#[derive(Debug)]
pub struct DeadAddress {
    pub address: SocketAddr,
    /// Keeps the port from being used by others.
    _socket: Socket,
    /// Keeps the queue of new connections full, so that the opening packets of others are dropped.
    _queued: Vec<TcpStream>,
}

impl DeadAddress {
    pub fn new(cut: Cut) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&any.into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let mut queued = Vec::new();
        if cut == Cut::Silent {
            socket.listen(0).unwrap();
            queued.push(TcpStream::connect(address).unwrap());
        }
        Self {
            address,
            _socket: socket,
            _queued: queued,
        }
    }
}

/// Two instances that know each other and the same targets, of which one is cut off from all of them.
struct CutFleet {
    cut: Entry,
    other: Entry,
    _stores: [StoreStandin; 2],
    _dead: Vec<DeadAddress>,
}

/// Starts the two instances. Their stores publish the same entries at the same revisions, the one of the cut instance
/// at dead addresses.
async fn cut_fleet(cut: Cut, engines: &[&TargetStandin], plain: &[&TargetStandin]) -> CutFleet {
    let other_world = world(engines, plain).await;
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    let mut dead = Vec::new();
    let services = [(engines, ENGINES), (plain, PLAIN)];
    for (targets, service) in services {
        for target in targets {
            let nobody = DeadAddress::new(cut);
            store.publish_target(target.id(), service, nobody.address, "ready");
            dead.push(nobody);
        }
    }
    let entry = start(&store, &[other_world.entry.settings().peer_address]).await;
    let fleet = CutFleet {
        cut: entry,
        other: other_world.entry,
        _stores: [other_world.store, store],
        _dead: dead,
    };
    let count = engines.len() + plain.len();
    until(|| fleet.cut.ready_targets().len() == count).await;
    until(|| fleet.cut.peers() == 1 && fleet.other.peers() == 1).await;
    fleet
}

impl CutFleet {
    /// Returns the addresses that the instance which isn't cut names to callers.
    fn resolved(&self) -> String {
        let path = "/v1/resolve?Name=calls.example&Region=r&Zone=east";
        get(self.other.settings().directory_address, path).body
    }

    fn exchange(&self, request: &CallerRequest) -> CallerResponse {
        Caller::connect(self.cut.settings().caller_address).exchange(request)
    }
}

fn engines() -> [TargetStandin; 4] {
    ["e-1", "e-2", "e-3", "e-4"].map(|id| target(id, Behaviour::Stream(4)))
}

fn events(last: u64) -> String {
    let events: Vec<String> = (1..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    events.concat()
}

/// Guards against refusals at an instance that is partitioned from all targets, while a peer beside it reaches them.
#[async_std::test]
async fn a_call_at_a_cut_instance_is_served_through_a_peer() {
    for cut in [Cut::Refused, Cut::Silent] {
        let plain = target("p-1", Behaviour::Serve("printed"));
        let fleet = cut_fleet(cut, &[], &[&plain]).await;
        let once = CallerRequest {
            body: "label".to_owned(),
            ..CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
        };
        let safe = CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"));

        let answers = [fleet.exchange(&once), fleet.exchange(&safe)];

        for answer in answers {
            assert_eq!((answer.status, &*answer.body), (200, "printed"), "{cut:?}");
        }
        let arrived: Vec<_> = plain.arrivals().into_iter().map(|r| r.method).collect();
        assert_eq!(arrived, ["POST", "GET"], "{cut:?}");
    }
}

/// As above, for a stream.
#[async_std::test]
async fn a_prompt_at_a_cut_instance_is_served_through_a_peer() {
    for cut in [Cut::Refused, Cut::Silent] {
        let engines = engines();
        let fleet = cut_fleet(cut, &engines.each_ref(), &[]).await;

        let answer = fleet.exchange(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000));

        assert_eq!((answer.status, answer.is_whole), (200, true), "{cut:?}");
        assert_eq!(answer.body, events(4), "{cut:?}");
    }
}

/// Guards against events that a caller gets twice, after it resumed a stream through a peer.
#[async_std::test]
async fn a_resumed_stream_at_a_cut_instance_goes_on_after_its_last_event() {
    for cut in [Cut::Refused, Cut::Silent] {
        let plain = target("p-1", Behaviour::Stream(4));
        let fleet = cut_fleet(cut, &[], &[&plain]).await;
        let resumed = CallerRequest {
            extra_headers: vec![(LAST_EVENT_HEADER, "3".to_owned())],
            ..CallerRequest::new("POST", format!("{FEED_PREFIX}x"))
        };

        let answer = fleet.exchange(&resumed);

        let expected = (200, "id: 4\ndata: event 4\n\n");
        assert_eq!((answer.status, &*answer.body), expected, "{cut:?}");
    }
}

/// As above, through a peer whose target begins anew whatever event the request names.
#[async_std::test]
async fn a_stream_that_begins_anew_behind_a_peer_does_not_reach_a_caller_that_resumes() {
    let anew = Behaviour::End(AnswerEnd {
        body: events(4),
        media_type: Some("text/event-stream"),
        framing: AnswerFraming::Length,
        is_framed_complete: true,
        connection: ConnectionEnd::Close,
    });
    for prefix in [STREAM_PREFIX, FEED_PREFIX] {
        let targets = ["t-1", "t-2"].map(|id| target(id, anew.clone()));
        let [engine, plain] = &targets;
        let fleet = cut_fleet(Cut::Refused, &[engine], &[plain]).await;
        let mut resumed = CallerRequest::prompt(format!("{prefix}x"), 5_000);
        resumed
            .extra_headers
            .push((LAST_EVENT_HEADER, "3".to_owned()));

        let answer = fleet.exchange(&resumed);

        assert_eq!((answer.status, answer.is_whole), (502, true), "{prefix}");
    }
}

/// Guards against a request that is passed around between instances which both reach no target.
#[async_std::test]
async fn a_forwarded_request_is_not_forwarded_again() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let fleet = cut_fleet(Cut::Refused, &[], &[&plain]).await;
    plain.stop_listening();

    let answer = fleet.exchange(&CallerRequest::new("GET", format!("{SAFE_PREFIX}listing")));

    assert_eq!(answer.status, 503);
}

/// Guards against a request that is offered to the same peer again and again, which reaches no target either.
#[async_std::test]
async fn a_request_is_refused_when_all_instances_are_cut_off() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let fleet = cut_fleet(Cut::Refused, &[], &[&plain]).await;
    plain.stop_listening();
    let call = CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"));
    let other = Caller::connect(fleet.other.settings().caller_address).exchange(&call);

    let first = fleet.exchange(&call);
    let second = fleet.exchange(&call);

    assert_eq!([other.status, first.status, second.status], [503, 503, 503]);
}

/// Guards against a second run of a call that may have run: the peer sent it, and the target broke off.
#[async_std::test]
async fn a_call_that_may_have_run_through_a_peer_is_not_sent_again() {
    let plain = target("p-1", Behaviour::DropResponse);
    let fleet = cut_fleet(Cut::Refused, &[], &[&plain]).await;
    let once = CallerRequest {
        body: "label".to_owned(),
        ..CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
    };

    let answer = fleet.exchange(&once);

    assert_eq!((answer.status, plain.arrivals().len()), (502, 1));
}

/// Guards against work that goes on at a target for a caller that has left the instance which forwarded its request.
#[async_std::test]
async fn a_caller_that_disconnects_ends_its_stream_behind_the_peer() {
    let engine = target("e-1", Behaviour::StreamThenHang(2));
    let fleet = cut_fleet(Cut::Refused, &[&engine], &[]).await;
    let mut caller = Caller::connect(fleet.cut.settings().caller_address);
    caller.write(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000).text());
    let first = caller.read_first_chunk();

    caller.disconnect();

    assert!(first.starts_with("id: 1\n"));
    engine.wait_for_close();
}

/// Guards against a caller's header that reaches targets, or has an instance take a request for one of a peer.
#[async_std::test]
async fn a_note_that_a_caller_makes_up_is_refused() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let world = world(&[], &[&plain]).await;
    let note = r#"{"run":1,"version":0,"service":"plain","age_ms":0,"sends":0,"runs":0,"is_resumed":false}"#;
    let with = |value: &str| CallerRequest {
        extra_headers: vec![("Whinlatch-Forward", value.to_owned())],
        ..CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
    };

    let statuses = [note, "{}", "no note"].map(|value| world.exchange(&with(value)).status);

    assert_eq!(statuses, [421, 400, 400]);
    assert!(plain.arrivals().is_empty());
}

/// Guards against a stream that stays cut off: its instance lost all engines in the middle of it, and a peer can go on
/// after the last event.
#[async_std::test]
async fn a_stream_goes_on_through_a_peer_when_its_instance_loses_all_engines() {
    let engines = engines();
    let other_world = world(&engines.each_ref(), &[]).await;
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    let mut relays = relays_to(&engines).await;
    for (engine, relay) in engines.iter().zip(&relays) {
        store.publish_target(engine.id(), ENGINES, relay.address(), "ready");
        engine.script([Behaviour::StreamThenHang(2)]);
    }
    let entry = start(&store, &[other_world.entry.settings().peer_address]).await;
    until(|| entry.ready_targets().len() == engines.len()).await;
    until(|| entry.peers() == 1 && other_world.entry.peers() == 1).await;
    let mut caller = Caller::connect(entry.settings().caller_address);
    caller.write(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000).text());
    caller.wait_for_first_bytes();
    for engine in &engines {
        engine.clear_script();
    }

    // New connections are refused before the open ones end, so that no further engine runs the prompt.
    for relay in &mut relays {
        relay.stop_listening().await;
    }
    for relay in &relays {
        relay.set_mode(RelayMode::Cut);
    }
    let answer = caller.read().unwrap();

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(4));
}

async fn relays_to(engines: &[TargetStandin]) -> Vec<Relay> {
    let mut relays = Vec::new();
    for engine in engines {
        let options = RelayOptions {
            listen: "127.0.0.1:0".parse().unwrap(),
            to: engine.address(),
        };
        relays.push(Relay::start(options).await.unwrap());
    }
    relays
}

/// Guards against callers that are led to instances which reach no target.
#[async_std::test]
async fn callers_are_not_led_to_a_cut_instance() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let fleet = cut_fleet(Cut::Refused, &[], &[&plain]).await;
    let addresses = [&fleet.cut, &fleet.other].map(|entry| {
        let address = entry.settings().caller_address;
        address.to_string()
    });
    until(|| {
        addresses
            .iter()
            .all(|address| fleet.resolved().contains(address))
    })
    .await;

    fleet.exchange(&CallerRequest::new("GET", format!("{SAFE_PREFIX}listing")));

    until(|| !fleet.resolved().contains(&addresses[0])).await;
    assert!(fleet.resolved().contains(&addresses[1]));
}

/// Guards against more attempts than the route allows: the peer has used them up and ends the stream, and the instance
/// that forwarded it asks another engine.
#[async_std::test]
async fn a_stream_that_a_peer_gave_up_is_not_tried_again() {
    let engines = ["e-1", "e-2", "e-3", "e-4"].map(|id| target(id, Behaviour::StreamBroken(2)));
    let fleet = cut_fleet(Cut::Refused, &engines.each_ref(), &[]).await;

    let answer = fleet.exchange(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000));

    let runs: usize = engines.iter().map(|engine| engine.arrivals().len()).sum();
    assert_eq!((answer.status, answer.is_whole), (200, false));
    assert_eq!((answer.body, runs), (events(2), 2));
}

/// Guards against an answer on a streaming route that is taken as a broken stream since it came through a peer.
#[async_std::test]
async fn an_answer_that_is_no_stream_comes_through_a_peer() {
    let answer = AnswerEnd {
        body: "{}".to_owned(),
        media_type: Some("application/json"),
        framing: AnswerFraming::Length,
        is_framed_complete: true,
        connection: ConnectionEnd::Close,
    };
    let engine = target("e-1", Behaviour::End(answer));
    let fleet = cut_fleet(Cut::Refused, &[&engine], &[]).await;

    let answer = fleet.exchange(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000));

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, "{}");
}
