//! Links at the size designed for: bounded in number, one graph, few bytes.

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
        peers::{NewsQueue, Place, Ring},
    },
    whinlatch_wire::{
        ids::Incarnation,
        peer::{MemberStamp, News, PeerFrame, TargetLoad, encode_frame},
        platform::{InstanceList, ListedState},
    },
};

const DAEMONS: usize = 350;
const DOMAINS: usize = 6;

fn places(without: impl Fn(usize) -> bool) -> Vec<Place> {
    (0..DAEMONS)
        .filter(|index| !without(*index))
        .map(|index| options(index, 0, DOMAINS))
        .map(|options| Place::new(options.peer_address, &options.failure_domain))
        .collect()
}

fn graph(places: &[Place]) -> BTreeMap<SocketAddr, BTreeSet<SocketAddr>> {
    let ring = Ring::new(places.iter().cloned());
    places
        .iter()
        .map(|place| (place.address, ring.linked_with(place)))
        .collect()
}

/// Passes that news from one daemon needs to reach all; none if it doesn't.
fn passes(graph: &BTreeMap<SocketAddr, BTreeSet<SocketAddr>>, from: SocketAddr) -> Option<usize> {
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

// A full mesh of 350 daemons costs more than the budget. Bounded links must still reach all within
// few passes, also when a tenth of the daemons died and nobody has noticed yet.
#[test]
fn news_reaches_350_daemons_over_few_links() {
    let whole = graph(&places(|_| false));
    let most = whole.values().map(BTreeSet::len).max().unwrap_or(0);
    let mean = whole.values().map(BTreeSet::len).sum::<usize>() as f64 / DAEMONS as f64;
    let from = *whole.keys().next().expect("a daemon");

    let far = whole.keys().filter_map(|from| passes(&whole, *from)).max();
    println!("links: most {most}, mean {mean:.1}; passes {far:?}");
    assert!(most <= 30, "{most}");
    assert!(mean <= 16.0, "{mean}");
    assert!(far.is_some_and(|far| far <= 6), "{far:?}");

    let survivors: BTreeMap<_, _> = whole
        .into_iter()
        .filter(|(address, _)| *address == from || address.port() % 10 != 3)
        .collect();
    let passes = passes(&survivors, from);
    println!("with a tenth dead: {passes:?} passes");
    assert!(passes.is_some_and(|passes| passes <= 7), "{passes:?}");
}

/// A core that knows 349 others and has the links that it wants.
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
            tell(&mut core, now, *peer, PeerFrame::default());
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

// Control may cost 15 KB a second at 350 daemons, both ways. Heartbeats on each link and the
// stamps of all that are alive are what is sent when nothing happens.
#[test]
fn control_at_350_daemons_stays_under_its_bytes() {
    let (mut core, mut now, linked) = core_of_350();
    let all: Vec<_> = (1..DAEMONS)
        .map(|index| hello(&options(index, 0, DOMAINS)))
        .collect();
    let news = whinlatch_wire::peer::News {
        members: all.iter().map(member).collect(),
        ..News::default()
    };
    tell(
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
                actions.extend(tell(
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

fn tell(core: &mut Core, now: u64, from: Incarnation, frame: PeerFrame) -> Vec<Action> {
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

// A link is silent for long while loads change at each request. What waits for it must not grow,
// and the latest statement about a subject is the one that is sent.
#[test]
fn news_that_waits_is_bounded_and_the_latest_statement_wins() {
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

// Of two daemons the one with the lower address opens the link. If that one can't know the other,
// since the platform is down and it has no seed, the two must be linked all the same.
#[test]
fn a_link_is_opened_from_the_other_side_when_need_be() {
    let mut fleet = fleet(0, 1);
    fleet.platform.down = true;
    fleet.add(options(0, 0, 3));
    let mut higher = options(1, 0, 3);
    higher.seed_peers = vec![options(0, 0, 3).peer_address];
    fleet.add(higher);

    let ms = fleet.until(5_000, "linked", |fleet| fleet.linked(0, 1));

    println!("linked after {ms} ms");
}
