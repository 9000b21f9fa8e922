//! Instances that are partitioned from all targets, and what others make of what they say.

use {
    super::{
        fixture::{CALLER, prompt_request},
        fleet_fixture::Fleet,
    },
    std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc},
    whinlatch_serving::names::TargetId,
};

/// Steps until the instances of a fleet know each other.
const SETTLING_STEPS: usize = 12;

fn engines() -> [TargetId; 4] {
    ["e-00", "e-01", "e-02", "e-03"].map(TargetId::from)
}

/// Has an instance fail to connect to each engine in turn.
fn fail_to_connect(fleet: &mut Fleet, address: SocketAddr) {
    let now = fleet.now;
    let serving = fleet.alive.get_mut(&address).unwrap();
    for engine in engines() {
        serving.record_unreachable(now, &engine);
    }
}

/// Guards against sound targets that the whole fleet avoids, because instances that are partitioned from them say
/// that they can't reach them.
#[test]
fn the_fleet_does_not_avoid_targets_that_only_cut_instances_cannot_reach() {
    for count in [9, 62] {
        let mut fleet = Fleet::start(count);
        fleet.steps(SETTLING_STEPS);
        let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
        let (cut, others) = addresses.split_at(addresses.len() / 2);

        for address in cut {
            fail_to_connect(&mut fleet, *address);
        }
        fleet.deliver_news();

        for address in others {
            for engine in engines() {
                let is_avoided = fleet.alive[address].is_unreachable(fleet.now, &engine);
                assert!(!is_avoided, "{engine} at {address}, {count} instances");
            }
        }
    }
}

/// Guards against streams that hang at an engine which has lost power, since instances whose links work don't tell
/// each other.
#[test]
fn the_fleet_learns_of_an_engine_that_an_instance_with_a_working_link_cannot_reach() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let [lost, reached, ..] = engines();
    let now = fleet.now;
    let first = fleet.alive.get_mut(&addresses[0]).unwrap();

    first.record_unreachable(now, &lost);
    first.record_connected(now + 200, &reached);
    fleet.deliver_news();

    for address in &addresses {
        let serving = &fleet.alive[address];
        let avoided = [&lost, &reached].map(|id| serving.is_unreachable(now, id));
        assert_eq!(avoided, [true, false], "{address}");
    }
}

/// Guards against avoiding targets that a peer can't reach though they have just answered here.
#[test]
fn what_a_target_sends_counts_more_than_a_report_of_a_peer() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let [lost, reached, ..] = engines();
    let now = fleet.now;
    let hearing = fleet.alive.get_mut(&addresses[1]).unwrap();
    hearing.record_heard(now, &lost);

    let partly_cut = fleet.alive.get_mut(&addresses[0]).unwrap();
    partly_cut.record_unreachable(now, &lost);
    partly_cut.record_connected(now, &reached);
    fleet.deliver_news();

    assert!(!fleet.alive[&addresses[1]].is_unreachable(now, &lost));
    assert!(fleet.alive[&addresses[2]].is_unreachable(now, &lost));
}

/// Guards against requests that the whole fleet refuses as ones that crash their targets, since an instance that was cut
/// off lost its connections to several targets while they ran.
#[test]
fn requests_that_a_cut_instance_loses_are_not_condemned() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let now = fleet.now;
    let request = prompt_request(5_000);
    let cut = fleet.alive.get_mut(&addresses[0]).unwrap();

    for (engine, at) in engines().iter().zip([0, 2, 4, 6]) {
        cut.record_connection_failure(now + at, engine);
        cut.record_crash(now + at, request.fingerprint, engine);
    }
    fleet.deliver_news();

    let other = fleet.alive.get_mut(&addresses[1]).unwrap();
    let admitted = other.admit_prompt(now + 10, &request);
    assert!(admitted.is_ok(), "{admitted:?}");
}

/// What a fleet did while one of three failure domains was cut off from all targets for some seconds.
#[derive(Debug)]
struct CutDomain {
    /// Steps of 250 ms until no other instance named a cut one to callers.
    steps_until_known: usize,
    /// Steps until all were named again after the cut.
    steps_until_healed: usize,
    /// Statements that were sent, per instance.
    statements_per_instance: f64,
    /// Requests that were forwarded to one peer, at most, in multiples of the mean of those in reach.
    largest_share: f64,
}

/// Steps for which the cut lasts.
const CUT_STEPS: usize = 24;
/// Requests that each cut instance forwards.
const FORWARDS: usize = 20;

/// Cuts a failure domain off, and heals it.
fn cut_one_domain(count: u64) -> CutDomain {
    let mut fleet = Fleet::in_domains(count, 3);
    fleet.steps(SETTLING_STEPS);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let (cut, others): (Vec<SocketAddr>, Vec<SocketAddr>) = addresses
        .iter()
        .partition(|address| (address.port() - 1) / 10 % 3 == 0);
    let statements = Rc::new(Cell::new(0));
    let counted = Rc::clone(&statements);
    fleet.on_sent = Box::new(move |_from, frame| counted.set(counted.get() + frame.reach.len()));

    let mut steps_until_known = None;
    for step in 1..=CUT_STEPS {
        let now = fleet.now;
        for address in &cut {
            let serving = fleet.alive.get_mut(address).unwrap();
            for engine in engines() {
                serving.record_connection_failure(now, &engine);
            }
        }
        fleet.step();
        fleet.deliver_news();
        if steps_until_known.is_none() && are_named(&fleet, &others, &others) {
            steps_until_known = Some(step);
        }
    }
    let largest_share = forward_from(&mut fleet, &cut, &others);
    let now = fleet.now;
    for address in &cut {
        let serving = fleet.alive.get_mut(address).unwrap();
        for engine in engines() {
            serving.record_connected(now, &engine);
        }
    }
    let is_healed = |fleet: &mut Fleet| {
        fleet.step();
        fleet.deliver_news();
        are_named(fleet, &others, &addresses)
    };
    CutDomain {
        steps_until_known: steps_until_known.unwrap_or(usize::MAX),
        steps_until_healed: (1..CUT_STEPS)
            .find(|_| is_healed(&mut fleet))
            .unwrap_or(usize::MAX),
        statements_per_instance: statements.get() as f64 / count as f64,
        largest_share,
    }
}

/// Returns whether each of some instances names exactly the instances with these addresses to callers.
fn are_named(fleet: &Fleet, by: &[SocketAddr], named: &[SocketAddr]) -> bool {
    by.iter().all(|address| {
        let addresses = fleet.alive[address].caller_addresses(fleet.now, CALLER, usize::MAX);
        addresses.len() == named.len()
    })
}

/// Has each cut instance forward requests, none of which ends. Returns the largest number at one peer, in multiples of
/// the mean.
fn forward_from(fleet: &mut Fleet, cut: &[SocketAddr], others: &[SocketAddr]) -> f64 {
    let now = fleet.now;
    let mut taken: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for address in cut {
        let serving = fleet.alive.get_mut(address).unwrap();
        for _ in 0..FORWARDS {
            let peer = serving
                .choose_forward_peer(now, &"engines".into(), &[])
                .unwrap();
            *taken.entry(peer.peer_address).or_default() += 1;
        }
    }
    assert!(taken.keys().all(|peer| others.contains(peer)), "{taken:?}");
    let mean = (cut.len() * FORWARDS) as f64 / others.len() as f64;
    taken.into_values().max().unwrap_or(0) as f64 / mean
}

/// Guards against a fleet that learns of a cut failure domain late, or by messages whose number grows with the square of
/// its size, and against one peer that gets the requests of all cut instances.
#[test]
fn a_cut_failure_domain_is_known_soon_and_its_requests_are_spread() {
    for count in [9, 62, 295] {
        let seen = cut_one_domain(count);

        // Operators excuse three seconds.
        assert!(seen.steps_until_known <= 12, "{count}: {seen:?}");
        assert!(seen.steps_until_healed <= 3, "{count}: {seen:?}");
        // Each cut instance states once that it is cut and once that it isn't; three hubs pass that on.
        let expected = 4.0 * 2.0 * count as f64 / 3.0;
        assert!(
            seen.statements_per_instance <= expected,
            "{count}: {seen:?}"
        );
        assert!(seen.largest_share <= 3.0, "{count}: {seen:?}");
    }
}

/// Guards against slow engines that go unnoticed, since the instance that reads the reports for all is cut off.
#[test]
fn another_instance_reads_the_reports_for_one_that_is_cut_off() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let reader = |fleet: &Fleet| {
        let mut instances = fleet.alive.iter();
        let reading =
            instances.find(|(_, serving)| !serving.reported_engines(fleet.now).is_empty());
        reading.map(|(address, _)| *address)
    };
    let first = reader(&fleet).unwrap();

    let now = fleet.now;
    for engine in engines() {
        let serving = fleet.alive.get_mut(&first).unwrap();
        serving.record_connection_failure(now, &engine);
    }
    // Until it is stated.
    for _ in 0..6 {
        fleet.step();
        fleet.deliver_news();
    }

    let second = reader(&fleet).unwrap();
    assert_ne!(first, second);
}

/// Guards against a storm of statements from instances whose service goes in and out of reach every other second.
#[test]
fn an_instance_at_the_edge_of_its_reach_states_that_seldom() {
    let mut fleet = Fleet::start(9);
    fleet.steps(SETTLING_STEPS);
    let unstable = *fleet.alive.keys().next().unwrap();
    let last_number = Rc::new(Cell::new(0));
    let seen = Rc::clone(&last_number);
    fleet.on_sent = Box::new(move |_from, frame| {
        let own = frame
            .reach
            .iter()
            .filter(|statement| statement.peer == unstable);
        let newest = own.map(|statement| statement.number).max().unwrap_or(0);
        seen.set(seen.get().max(newest));
    });

    for step in 0..40 {
        let now = fleet.now;
        let serving = fleet.alive.get_mut(&unstable).unwrap();
        for engine in engines() {
            if step % 12 < 6 {
                serving.record_connection_failure(now, &engine);
            } else {
                serving.record_connected(now, &engine);
            }
        }
        fleet.step();
        fleet.deliver_news();
    }

    // Ten seconds, and one statement in three of them at most.
    assert!(
        (1..=4).contains(&last_number.get()),
        "{}",
        last_number.get()
    );
}
