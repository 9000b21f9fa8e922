//! Links at the largest supported fleet: bounded in number, one connected graph, little traffic.

use {
    crate::{
        daemons::{hello, listed, options},
        fleet::{TICK_MS, fleet},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    },
    whinlatch_core::{
        Action, Core, Event, MonoMs, PlatformEvent,
        peers::{NewsQueue, Ring, RingNode},
    },
    whinlatch_wire::{
        ids::Incarnation,
        peer::{MemberStamp, News, PeerFrame, TargetLoad, encode_frame},
        platform::{InstanceList, ListedState},
    },
};

const DAEMONS: usize = 350;
const DOMAINS: usize = 6;

fn ring_nodes(is_excluded: impl Fn(usize) -> bool) -> Vec<RingNode> {
    (0..DAEMONS)
        .filter(|index| !is_excluded(*index))
        .map(|index| options(index, 0, DOMAINS))
        .map(|options| RingNode::new(options.peer_address, &options.failure_domain))
        .collect()
}

fn graph(ring_nodes: &[RingNode]) -> BTreeMap<SocketAddr, BTreeSet<SocketAddr>> {
    let ring = Ring::new(ring_nodes.iter().cloned());
    ring_nodes
        .iter()
        .map(|node| (node.address, ring.linked_with(node)))
        .collect()
}

/// Returns the hops that news from one daemon needs to reach all; `None` if it doesn't reach all.
fn hops(graph: &BTreeMap<SocketAddr, BTreeSet<SocketAddr>>, from: SocketAddr) -> Option<usize> {
    let mut reached = BTreeMap::from([(from, 0)]);
    let mut queue = VecDeque::from([from]);
    while let Some(at) = queue.pop_front() {
        let next = reached[&at] + 1;
        for peer in graph.get(&at).into_iter().flatten() {
            if graph.contains_key(peer) && !reached.contains_key(peer) {
                reached.insert(*peer, next);
                queue.push_back(*peer);
            }
        }
    }
    let all = reached.len() == graph.len();
    all.then(|| reached.into_values().max().unwrap_or(0))
}

// A full mesh of 350 daemons exceeds the traffic budget. Bounded links must still reach all daemons
// within few hops, also when a tenth of them died unnoticed.
#[test]
fn news_reaches_350_daemons_over_few_links() {
    let whole = graph(&ring_nodes(|_| false));
    let max_links = whole.values().map(BTreeSet::len).max().unwrap_or(0);
    let mean_links = whole.values().map(BTreeSet::len).sum::<usize>() as f64 / DAEMONS as f64;
    let from = *whole.keys().next().expect("a daemon");

    let max_hops = whole.keys().filter_map(|from| hops(&whole, *from)).max();
    println!("links: max {max_links}, mean {mean_links:.1}; hops {max_hops:?}");
    assert!(max_links <= 30, "{max_links}");
    assert!(mean_links <= 16.0, "{mean_links}");
    assert!(
        max_hops.is_some_and(|max_hops| max_hops <= 6),
        "{max_hops:?}"
    );

    let survivors: BTreeMap<_, _> = whole
        .into_iter()
        .filter(|(address, _)| *address == from || address.port() % 10 != 3)
        .collect();
    let hops = hops(&survivors, from);
    println!("with a tenth dead: {hops:?} hops");
    assert!(hops.is_some_and(|hops| hops <= 7), "{hops:?}");
}

/// Returns a core that knows 349 others and has opened all links it wants, with the time and its
/// peers.
fn core_of_350() -> (Core, u64, BTreeSet<Incarnation>) {
    let mut now = 10_000;
    let mut core = Core::new(MonoMs(now), options(0, 0, DOMAINS));
    let list = InstanceList {
        version: 1,
        daemons: (0..DAEMONS)
            .map(|index| listed(&options(index, 0, DOMAINS), ListedState::Live))
            .collect(),
        targets: Vec::new(),
    };
    let by_address: BTreeMap<SocketAddr, usize> = (0..DAEMONS)
        .map(|index| (options(index, 0, DOMAINS).peer_address, index))
        .collect();
    let mut linked = BTreeSet::new();
    core.handle(MonoMs(now), Event::Platform(PlatformEvent::Instances(list)));
    for _ in 0..100 {
        now += TICK_MS;
        for peer in &linked {
            deliver(&mut core, now, *peer, PeerFrame::default());
        }
        for action in core.handle(MonoMs(now), Event::Tick) {
            if let Action::Link { address } = action {
                let options = options(by_address[&address], 0, DOMAINS);
                linked.insert(options.incarnation);
                let hello = hello(&options);
                core.handle(MonoMs(now), Event::PeerUp { hello });
            }
        }
    }
    (core, now, linked)
}

// Control traffic may take 15 KB a second at 350 daemons, both directions together. An idle fleet
// sends heartbeats on each link and the stamps of all daemons alive.
#[test]
fn control_traffic_of_350_daemons_stays_within_budget() {
    let (mut core, mut now, linked) = core_of_350();
    let all: Vec<_> = (1..DAEMONS)
        .map(|index| hello(&options(index, 0, DOMAINS)))
        .collect();
    let news = whinlatch_wire::peer::News {
        members: all.iter().map(member).collect(),
        ..News::default()
    };
    deliver(
        &mut core,
        now,
        *linked.first().expect("a link"),
        PeerFrame {
            news,
            ..PeerFrame::default()
        },
    );
    let mut sent = 0;
    let mut frames = 0;
    let begin = now + 20_000;
    while now < begin + 60_000 {
        now += TICK_MS;
        let mut actions = core.handle(MonoMs(now), Event::Tick);
        if now % 500 == 0 {
            let alive: Vec<MemberStamp> = all
                .iter()
                .map(|peer| stamp(peer.incarnation, now))
                .collect();
            for peer in &linked {
                let alive = if now % 5_000 == 0 {
                    alive.clone()
                } else {
                    Vec::new()
                };
                actions.extend(deliver(
                    &mut core,
                    now,
                    *peer,
                    PeerFrame {
                        alive,
                        ..PeerFrame::default()
                    },
                ));
            }
        }
        for action in actions {
            if let Action::Send { frame, .. } = action
                && now > begin
            {
                sent += encode_frame(&frame).expect("fits").len();
                frames += 1;
            }
        }
    }

    let bytes_per_s = sent as f64 / 60.0;
    println!(
        "{} links, {frames} frames and {bytes_per_s:.0} bytes a second sent",
        linked.len()
    );
    assert!(bytes_per_s < 7_500.0, "{bytes_per_s}");
    assert_eq!(frames, linked.len() * 2 * 60 + 60 / 5);
}

fn deliver(core: &mut Core, now: u64, from: Incarnation, frame: PeerFrame) -> Vec<Action> {
    core.handle(
        MonoMs(now),
        Event::PeerFrame {
            from,
            frame: Box::new(frame),
        },
    )
}

fn stamp(incarnation: Incarnation, now: u64) -> MemberStamp {
    MemberStamp {
        short: MemberStamp::short_of(incarnation),
        version: 0,
        beat: now / 1_000,
    }
}

fn member(hello: &whinlatch_wire::peer::Hello) -> whinlatch_wire::peer::MemberNews {
    whinlatch_wire::peer::MemberNews {
        incarnation: hello.incarnation,
        instance: hello.instance.clone(),
        failure_domain: hello.failure_domain.clone(),
        caller_address: hello.caller_address,
        peer_address: hello.peer_address,
        version: 0,
        state: whinlatch_wire::peer::MemberState::Alive,
    }
}

// A link is silent for long while loads change with each request. Its queue must not grow, and only
// the latest update about a subject may be sent.
#[test]
fn queued_news_is_bounded_and_the_latest_update_wins() {
    let mut queue = NewsQueue::default();
    let load = |number: u64, target: u64| TargetLoad {
        origin: Incarnation(7),
        number,
        target: format!("target-{target}").as_str().into(),
        in_flight: number as u32,
        prefill_left_ms: 0,
        long_left_ms: 0,
        claimed_ms: 0,
        claim_age_ms: 0,
        helping_ms: 0,
    };

    for number in (1..=100_000).chain([5]) {
        let loads = vec![load(number, number % 3)];
        queue.put(&News {
            loads,
            ..News::default()
        });
    }
    let waiting = queue.len();
    let sent = queue.take();

    assert_eq!(waiting, 3);
    assert_eq!(
        sent.loads.iter().map(|load| load.number).max(),
        Some(100_000)
    );
    assert!(sent.loads.iter().all(|load| load.number >= 99_998));
}

// The daemon with the lower address opens the link. If it can't know the other, since the platform
// is down and it has no seed, the other one must open it.
#[test]
fn a_link_is_opened_by_the_higher_address_if_the_lower_cannot() {
    let mut fleet = fleet(0, 1);
    fleet.platform.down = true;
    fleet.add(options(0, 0, 3));
    let mut higher = options(1, 0, 3);
    higher.seed_peers = vec![options(0, 0, 3).peer_address];
    fleet.add(higher);

    let ms = fleet.run_until(5_000, "linked", |fleet| fleet.linked(0, 1));

    println!("linked after {ms} ms");
}
