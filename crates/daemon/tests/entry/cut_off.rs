//! An instance that reaches no target, while callers, the store and another instance reach it.

use {
    super::fixture::{start, target, until, world},
    socket2::{Domain, Socket, Type},
    std::net::{SocketAddr, TcpListener, TcpStream},
    whinlatch_daemon::entry::Entry,
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, CallerResponse, ENGINES, Fixture, PLAIN,
        SAFE_PREFIX, STREAM_PREFIX, StoreStandin, TargetStandin,
    },
};

/// How connections of the cut instance to targets fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Refused,
    Silent,
}

/// An address at which no target answers.
#[derive(Debug)]
struct DeadAddress {
    address: SocketAddr,
    /// Keeps the queue of new connections full, so that the opening packets of others are dropped.
    _listener: Option<Socket>,
    _queued: Vec<TcpStream>,
}

impl DeadAddress {
    fn new(cut: Cut) -> Self {
        match cut {
            Cut::Refused => Self {
                address: TcpListener::bind("127.0.0.1:0")
                    .and_then(|listener| listener.local_addr())
                    .unwrap(),
                _listener: None,
                _queued: Vec::new(),
            },
            Cut::Silent => Self::silent(),
        }
    }

    fn silent() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        Self {
            address,
            _queued: vec![TcpStream::connect(address).unwrap()],
            _listener: Some(listener),
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
