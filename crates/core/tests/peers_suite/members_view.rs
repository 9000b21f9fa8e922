//! Who is a member: suspicion, its end, and what callers are told.

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

fn all(fleet: &Fleet, of: usize, expected: Option<MemberState>) -> bool {
    states(fleet, of).iter().all(|state| *state == expected)
}

fn names(fleet: &Fleet, at: usize, of: usize) -> bool {
    let address = fleet.nodes[of].options.caller_address;
    let entries = fleet.nodes[at].core.entries();
    entries.entries.iter().any(|entry| entry.address == address)
}

fn told(hello: &Hello, version: u64, state: MemberState) -> MemberNews {
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

/// Lets a daemon hear a statement from another.
fn tell(fleet: &mut Fleet, at: usize, from: usize, member: MemberNews) {
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

fn settled(size: usize, seed: u64) -> Fleet {
    let mut fleet = fleet(size, seed);
    fleet.run_ms(6_000);
    fleet
}

/// Whether each of `group` names all of `group` and none of the others.
fn names_just(fleet: &Fleet, group: &[usize]) -> bool {
    let all = 0..fleet.nodes.len();
    group.iter().all(|at| {
        all.clone()
            .all(|of| names(fleet, *at, of) == group.contains(&of))
    })
}

// A daemon dies and the list still names it. Callers must not be sent there, and its entry must
// not stay for ever.
#[test]
fn a_dead_daemon_is_not_named_and_its_entry_ends() {
    let mut fleet = settled(9, 1);

    fleet.kill(4);
    let ms = fleet.until(1_000, "not named", |fleet| {
        !(0..9).any(|at| at != 4 && names(fleet, at, 4))
    });
    println!("not named after {ms} ms");
    let ms = fleet.until(5_000, "suspected by all", |fleet| {
        all(fleet, 4, Some(MemberState::Suspect))
    });
    println!("suspected by all after {ms} ms");
    fleet.tick_ms = 400;
    fleet.run_ms(920_000);

    assert!(all(&fleet, 4, None));
}

// A daemon is replaced on its instance. The former run is dead at once and stays so, whatever a
// daemon that was away says of it later.
#[test]
fn a_new_run_on_the_same_instance_ends_the_former_for_good() {
    let mut fleet = settled(4, 1);
    let former = fleet.nodes[2].options.clone();
    fleet.kill(2);

    fleet.add(options(2, 1, 3));
    fleet.run_ms(10_000);
    let late = told(&hello(&former), 9, MemberState::Alive);
    tell(&mut fleet, 0, 1, late);

    assert_eq!(
        state(&fleet, 0, former.incarnation),
        Some(MemberState::Dead)
    );
    assert_eq!(
        state(&fleet, 3, former.incarnation),
        Some(MemberState::Dead)
    );
    assert!(all(&fleet, 2, Some(MemberState::Alive)));
}

// A process was frozen and another run took its instance. When it wakes it learns so and leaves.
#[test]
fn a_frozen_run_whose_place_was_taken_leaves_when_it_wakes() {
    let mut fleet = settled(3, 1);
    let former = fleet.nodes[2].options.clone();
    let newer = hello(&options(2, 1, 3));
    fleet.nodes[2].process = Process::Frozen;
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

// Something between two daemons loses track of their connection: it is silent for good while new
// ones work. Neither may be suspected; a fresh connection takes the place of the silent one.
#[test]
fn a_silent_connection_is_renewed_before_anyone_is_suspected() {
    let mut fleet = settled(4, 1);

    fleet.hushed.insert((0, 1));
    for _ in 0..200 {
        fleet.run_ms(50);
        assert!(all(&fleet, 0, Some(MemberState::Alive)));
        assert!(all(&fleet, 1, Some(MemberState::Alive)));
    }

    assert!(fleet.hushed.is_empty());
    assert!(fleet.linked(0, 1));
}

// The fleet is split. Each side names only its own; when the split ends, be it after a minute or
// after all entries of the other side were forgotten, both sides are one fleet again.
#[test]
fn two_sides_of_a_partition_take_each_other_back() {
    for split_ms in [5_000, 60_000, 1_200_000] {
        let mut fleet = settled(8, 2);
        fleet.part(&[0, 1, 2, 3], &[4, 5, 6, 7]);
        let ms = fleet.until(5_000, "each side names its own", |fleet| {
            names_just(fleet, &[0, 1, 2, 3]) && names_just(fleet, &[4, 5, 6, 7])
        });
        println!("each side names its own after {ms} ms");
        fleet.tick_ms = if split_ms > 60_000 { 400 } else { 50 };
        fleet.run_ms(split_ms);
        fleet.tick_ms = 50;

        fleet.silent.clear();
        let whole: Vec<usize> = (0..8).collect();
        let ms = fleet.until(10_000, "one fleet", |fleet| names_just(fleet, &whole));
        println!("one fleet {ms} ms after a split of {split_ms} ms");
        assert!((0..8).all(|of| all(&fleet, of, Some(MemberState::Alive))));
    }
}

// One direction between two daemons is cut; all others still hear both. The two suspect each other
// once, contradict through the others, and are left to those: the fleet must not hear a suspicion
// every few seconds, and the two must be linked again once the cut ends.
#[test]
fn a_one_way_cut_between_two_leaves_both_in_the_fleet() {
    let mut fleet = settled(6, 3);
    fleet.silent.insert((0, 1));
    let mut suspicions = 0;
    let mut before = true;
    for _ in 0..1_200 {
        fleet.run_ms(50);
        let named = names(&fleet, 3, 0) && names(&fleet, 3, 1);
        suspicions += u32::from(before && !named);
        before = named;
    }

    let others_name_both = (2..6).all(|at| names(&fleet, at, 0) && names(&fleet, at, 1));
    fleet.silent.clear();
    fleet.until(10_000, "linked again", |fleet| fleet.linked(0, 1));

    println!("{suspicions} suspicions in a minute");
    assert!(others_name_both);
    assert!(suspicions <= 2, "{suspicions}");
}

// A daemon is forgotten by all but one, which tells its old suspicion when it is linked again. The
// entry must not come back, since it would then be told on and on.
#[test]
fn an_old_suspicion_brings_no_forgotten_daemon_back() {
    let mut fleet = settled(3, 1);
    let gone = hello(&options(9, 0, 3));
    let news = told(&gone, 3, MemberState::Suspect);

    tell(&mut fleet, 0, 1, news);

    assert_eq!(state(&fleet, 0, gone.incarnation), None);
}

// A process is paused for a minute and wakes. It has heard nobody for a minute and would tell the
// fleet that all others are dead, and cut its links.
#[test]
fn a_daemon_that_was_paused_doubts_itself_before_others() {
    let mut fleet = settled(6, 4);
    fleet.nodes[3].process = Process::Frozen;
    fleet.run_ms(60_000);
    assert!(all(&fleet, 3, Some(MemberState::Suspect)));

    fleet.nodes[3].process = Process::Up;
    // Its timer fires before it reads what waits in its connections.
    fleet.event(3, Event::Tick);
    for _ in 0..200 {
        fleet.run_ms(50);
        let others = (0..6).filter(|of| *of != 3);
        assert!(
            others
                .into_iter()
                .all(|of| all(&fleet, of, Some(MemberState::Alive)))
        );
    }

    assert!(all(&fleet, 3, Some(MemberState::Alive)));
}

// A daemon is told to stop. Callers ask others which entries to use and must not be sent to it.
#[test]
fn a_daemon_that_leaves_is_not_named_any_more() {
    let mut fleet = settled(9, 5);

    fleet.event(7, Event::Stop);
    let ms = fleet.until(1_000, "not named", |fleet| {
        !(0..9).any(|at| names(fleet, at, 7))
    });
    println!("a leaving daemon is not named after {ms} ms");
    fleet.run_ms(5_000);
    fleet.kill(7);
    fleet.run_ms(20_000);

    assert!(all(&fleet, 7, Some(MemberState::Dead)));
}

// The list says that a daemon is leaving, and it is frozen, so that it can't say so itself.
#[test]
fn a_daemon_that_the_list_has_leaving_is_not_named() {
    let mut fleet = settled(3, 6);
    fleet.nodes[2].process = Process::Frozen;
    let leaving = fleet.nodes[2].options.clone();

    fleet.list(&leaving, ListedState::Leaving);
    fleet.run_ms(1_200);

    assert!(!names(&fleet, 0, 2));
}

// Callers keep an answer for a while; they get addresses of their own failure domain first, some
// of others, and never all of a large fleet.
#[test]
fn entries_start_with_the_own_failure_domain_and_are_few() {
    let fleet = settled(60, 7);

    let entries = fleet.nodes[1].core.entries().entries;

    let near = entries
        .iter()
        .take_while(|entry| entry.failure_domain.as_str() == "domain-1");
    assert_eq!(entries.len(), 16);
    assert_eq!(near.count(), 8);
}
