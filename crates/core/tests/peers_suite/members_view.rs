//! Membership: suspicion, its refutation, and the entry addresses that callers get.

use {
    crate::{
        daemons::{hello, options},
        fleet::{Fleet, Process, fleet},
    },
    whinlatch_core::{Event, MonoMs},
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, MemberNews, MemberState, News, PeerFrame},
        platform::ListedState,
    },
};

fn state(fleet: &Fleet, at: usize, of: Incarnation) -> Option<MemberState> {
    let status = fleet.nodes[at].core.status(MonoMs(fleet.now));
    let peer = status
        .peers
        .into_iter()
        .find(|peer| peer.incarnation == of)?;
    Some(peer.state)
}

fn states(fleet: &Fleet, of: usize) -> Vec<Option<MemberState>> {
    let incarnation = fleet.nodes[of].options.incarnation;
    (0..fleet.nodes.len())
        .filter(|at| *at != of && fleet.is_up(*at))
        .map(|at| state(fleet, at, incarnation))
        .collect()
}

fn all_see(fleet: &Fleet, of: usize, expected: Option<MemberState>) -> bool {
    states(fleet, of).iter().all(|state| *state == expected)
}

fn names_entry(fleet: &Fleet, at: usize, of: usize) -> bool {
    let address = fleet.nodes[of].options.caller_address;
    let entries = fleet.nodes[at].core.entries();
    entries.entries.iter().any(|entry| entry.address == address)
}

fn member_news(hello: &Hello, version: u64, state: MemberState) -> MemberNews {
    MemberNews {
        incarnation: hello.incarnation,
        instance: hello.instance.clone(),
        failure_domain: hello.failure_domain.clone(),
        caller_address: hello.caller_address,
        peer_address: hello.peer_address,
        version,
        state,
    }
}

/// Delivers a membership update to a daemon, as if another one had sent it.
fn deliver(fleet: &mut Fleet, at: usize, from: usize, member: MemberNews) {
    let members = vec![member];
    let news = News {
        members,
        ..News::default()
    };
    let frame = Box::new(PeerFrame {
        news,
        ..PeerFrame::default()
    });
    let from = fleet.nodes[from].options.incarnation;
    fleet.event(at, Event::PeerFrame { from, frame });
}

fn started_fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = fleet(size, seed);
    fleet.run_ms(6_000);
    fleet
}

/// Returns whether each daemon of `group` names all of `group` and no others.
fn names_exactly(fleet: &Fleet, group: &[usize]) -> bool {
    let nodes = 0..fleet.nodes.len();
    group.iter().all(|at| {
        nodes
            .clone()
            .all(|of| names_entry(fleet, *at, of) == group.contains(&of))
    })
}

// A daemon dies while the platform's list still names it. Callers must not be sent there, and its
// entry must not stay forever.
#[test]
fn a_dead_daemon_is_not_named_and_its_entry_is_evicted() {
    let mut fleet = started_fleet(9, 1);

    fleet.kill(4);
    let ms = fleet.run_until(1_000, "not named", |fleet| {
        !(0..9).any(|at| at != 4 && names_entry(fleet, at, 4))
    });
    println!("not named after {ms} ms");
    let ms = fleet.run_until(5_000, "suspected by all", |fleet| {
        all_see(fleet, 4, Some(MemberState::Suspect))
    });
    println!("suspected by all after {ms} ms");
    fleet.tick_ms = 400;
    fleet.run_ms(920_000);

    assert!(all_see(&fleet, 4, None));
}

// A daemon is replaced on its instance. The former run is dead immediately and stays so, even if a
// daemon that missed this reports it as alive later.
#[test]
fn a_new_run_on_the_same_instance_replaces_the_former_for_good() {
    let mut fleet = started_fleet(4, 1);
    let former = fleet.nodes[2].options.clone();
    fleet.kill(2);

    fleet.add(options(2, 1, 3));
    fleet.run_ms(10_000);
    let late = member_news(&hello(&former), 9, MemberState::Alive);
    deliver(&mut fleet, 0, 1, late);

    assert_eq!(
        state(&fleet, 0, former.incarnation),
        Some(MemberState::Dead)
    );
    assert_eq!(
        state(&fleet, 3, former.incarnation),
        Some(MemberState::Dead)
    );
    assert!(all_see(&fleet, 2, Some(MemberState::Alive)));
}

// A paused process is replaced by another run on its instance. It must learn so and leave when it
// resumes.
#[test]
fn a_paused_run_that_was_replaced_leaves_when_it_resumes() {
    let mut fleet = started_fleet(3, 1);
    let former = fleet.nodes[2].options.clone();
    let newer = hello(&options(2, 1, 3));
    fleet.nodes[2].process = Process::Paused;
    fleet.run_ms(5_000);
    for index in [0, 1] {
        fleet.event(
            index,
            Event::PeerUp {
                hello: newer.clone(),
            },
        );
    }

    fleet.nodes[2].process = Process::Up;
    fleet.run_ms(5_000);

    assert!(fleet.nodes[2].core.status(MonoMs(fleet.now)).leaving);
    assert_eq!(
        state(&fleet, 0, former.incarnation),
        Some(MemberState::Dead)
    );
}

// A connection between two daemons stays silent for good while new ones work, as after a middlebox
// lost track of it. Neither daemon may be suspected; a new connection must replace the silent one.
#[test]
fn a_silent_connection_is_renewed_before_its_peer_is_suspected() {
    let mut fleet = started_fleet(4, 1);

    fleet.dead_connections.insert((0, 1));
    for _ in 0..200 {
        fleet.run_ms(50);
        assert!(all_see(&fleet, 0, Some(MemberState::Alive)));
        assert!(all_see(&fleet, 1, Some(MemberState::Alive)));
    }

    assert!(fleet.dead_connections.is_empty());
    assert!(fleet.linked(0, 1));
}

// During a partition each side names only its own daemons. Afterwards both sides must be one fleet
// again, whether the partition lasted seconds or until all entries of the other side were evicted.
#[test]
fn two_sides_of_a_partition_rejoin() {
    for split_ms in [5_000, 60_000, 1_200_000] {
        let mut fleet = started_fleet(8, 2);
        fleet.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
        let ms = fleet.run_until(5_000, "each side names its own", |fleet| {
            names_exactly(fleet, &[0, 1, 2, 3]) && names_exactly(fleet, &[4, 5, 6, 7])
        });
        println!("each side names its own after {ms} ms");
        fleet.tick_ms = if split_ms > 60_000 { 400 } else { 50 };
        fleet.run_ms(split_ms);
        fleet.tick_ms = 50;

        fleet.blocked.clear();
        let whole: Vec<usize> = (0..8).collect();
        let ms = fleet.run_until(10_000, "one fleet", |fleet| names_exactly(fleet, &whole));
        println!("one fleet {ms} ms after a split of {split_ms} ms");
        assert!((0..8).all(|of| all_see(&fleet, of, Some(MemberState::Alive))));
    }
}

// One direction between two daemons fails while all others reach both. The two suspect each other
// once and refute it through the others, whose stamps count from then on: suspicions must not repeat
// every few seconds, and the two must be linked again after the failure.
#[test]
fn a_one_way_failure_between_two_leaves_both_in_the_fleet() {
    let mut fleet = started_fleet(6, 3);
    fleet.blocked.insert((0, 1));
    let mut suspicions = 0;
    let mut before = true;
    for _ in 0..1_200 {
        fleet.run_ms(50);
        let named = names_entry(&fleet, 3, 0) && names_entry(&fleet, 3, 1);
        suspicions += u32::from(before && !named);
        before = named;
    }

    let others_name_both =
        (2..6).all(|at| names_entry(&fleet, at, 0) && names_entry(&fleet, at, 1));
    fleet.blocked.clear();
    fleet.run_until(10_000, "linked again", |fleet| fleet.linked(0, 1));

    println!("{suspicions} suspicions in a minute");
    assert!(others_name_both);
    assert!(suspicions <= 2, "{suspicions}");
}

// All daemons but one evicted a daemon; that one sends its old suspicion when it is linked again.
// The entry must not come back, since it would then circulate without end.
#[test]
fn an_old_suspicion_does_not_add_an_evicted_daemon() {
    let mut fleet = started_fleet(3, 1);
    let gone = hello(&options(9, 0, 3));
    let news = member_news(&gone, 3, MemberState::Suspect);

    deliver(&mut fleet, 0, 1, news);

    assert_eq!(state(&fleet, 0, gone.incarnation), None);
}

// A process that was paused for a minute received nothing meanwhile. When it resumes it must not
// declare all others suspect nor close its links.
#[test]
fn a_daemon_that_was_paused_suspects_no_others() {
    let mut fleet = started_fleet(6, 4);
    fleet.nodes[3].process = Process::Paused;
    fleet.run_ms(60_000);
    assert!(all_see(&fleet, 3, Some(MemberState::Suspect)));

    fleet.nodes[3].process = Process::Up;
    // Its timer fires before it reads the frames buffered in its connections.
    fleet.event(3, Event::Tick);
    for _ in 0..200 {
        fleet.run_ms(50);
        let others = (0..6).filter(|of| *of != 3);
        assert!(
            others
                .into_iter()
                .all(|of| all_see(&fleet, of, Some(MemberState::Alive)))
        );
    }

    assert!(all_see(&fleet, 3, Some(MemberState::Alive)));
}

// A daemon is stopped. Callers that get entry addresses from others must not be sent to it.
#[test]
fn a_leaving_daemon_is_no_longer_named() {
    let mut fleet = started_fleet(9, 5);

    fleet.event(7, Event::Stop);
    let ms = fleet.run_until(1_000, "not named", |fleet| {
        !(0..9).any(|at| names_entry(fleet, at, 7))
    });
    println!("a leaving daemon is not named after {ms} ms");
    fleet.run_ms(5_000);
    fleet.kill(7);
    fleet.run_ms(20_000);

    assert!(all_see(&fleet, 7, Some(MemberState::Dead)));
}

// The list marks a daemon as leaving while its process is paused and can't announce it.
#[test]
fn a_daemon_listed_as_leaving_is_not_named() {
    let mut fleet = started_fleet(3, 6);
    fleet.nodes[2].process = Process::Paused;
    let leaving = fleet.nodes[2].options.clone();

    fleet.set_listed(&leaving, ListedState::Leaving);
    fleet.run_ms(1_200);

    assert!(!names_entry(&fleet, 0, 2));
}

// Callers keep an answer for a while. It must start with addresses of their own failure domain,
// hold some of others, and never all of a large fleet.
#[test]
fn entries_start_with_the_own_failure_domain_and_are_bounded() {
    let fleet = started_fleet(60, 7);

    let entries = fleet.nodes[1].core.entries().entries;

    let near = entries
        .iter()
        .take_while(|entry| entry.failure_domain.as_str() == "domain-1");
    assert_eq!(entries.len(), 16);
    assert_eq!(near.count(), 8);
}
