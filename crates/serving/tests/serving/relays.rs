//! One reading of the store for many.

use {
    super::{
        fixture::{START, change, instance, member, removal, rule},
        fleet_fixture::Fleet,
    },
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Serving, StoreDuty,
        fleet::{Beat, Frame, Member},
        relays::{Extent, Follow, Following, Word},
        targets::{TargetRegistry, TargetState},
    },
};

/// Looks after which a fleet has found itself.
const SETTLED_LOOKS: usize = 24;
/// Looks in two seconds, within which a target that leaves is to be left alone.
const LOOKS_IN_TIME: usize = 8;
const RELAY: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 9)),
    7_001,
);

fn settled(count: u64, domains: u64) -> Fleet {
    let mut fleet = Fleet::in_domains(count, domains);
    fleet.looks(SETTLED_LOOKS);
    fleet.store.take_callers();
    fleet
}

/// Instances that still send requests to a target.
fn using(fleet: &Fleet, target: &str) -> usize {
    let servings = fleet.alive.values();
    servings
        .filter(|serving| serving.ready_targets().iter().any(|ready| ready == target))
        .count()
}

fn word(revision: u64, since: Option<u64>) -> Word {
    Word {
        known: Extent {
            revision,
            version: 1,
        },
        age_ms: 0,
        since,
        is_cut_off: false,
    }
}

/// What an instance that knows all up to a revision, and version 1, makes of a word.
fn following(known_to: u64, word: &Word) -> Following {
    let mut following = Following::default();
    following.complete(known_to);
    following.heard(START, RELAY, word, 1);
    following
}

/// The store has no calls left for anybody: each of hundreds of instances asks it for each change. Two of
/// each failure domain do.
#[test]
fn two_instances_of_each_failure_domain_read_the_store_for_all() {
    let mut fleet = settled(60, 3);

    fleet.store.changes.push(removal("e-00", 9));
    fleet.looks(LOOKS_IN_TIME);

    assert_eq!(fleet.store.take_callers().len(), 6);
    assert_eq!(using(&fleet, "e-00"), 0);
}

/// A target that has left gets requests from a whole failure domain: both instances that read the store
/// for it die at the moment at which that is published.
#[test]
fn a_leaving_target_is_left_alone_in_time_though_all_relays_die() {
    let mut fleet = settled(60, 3);
    fleet.look();
    let relays = fleet.store.take_callers();

    fleet
        .store
        .changes
        .push(change("e-00", 9, TargetState::Draining));
    for relay in &relays {
        fleet.kill(*relay);
    }
    fleet.looks(LOOKS_IN_TIME);

    assert_eq!(relays.len(), 6);
    assert_eq!(using(&fleet, "e-00"), 0);
}

/// The same with relays that live and are heard, but that the store turns away: nobody notices that nothing
/// is told any more.
#[test]
fn relays_that_the_store_turns_away_are_passed_over() {
    let mut fleet = settled(60, 3);
    fleet.look();
    fleet.store.turned_away = fleet.store.take_callers();

    fleet
        .store
        .changes
        .push(change("e-00", 9, TargetState::Draining));
    fleet.looks(LOOKS_IN_TIME);

    assert_eq!(using(&fleet, "e-00"), 0);
    fleet.store.take_callers();
    fleet.looks(1);
    let callers = fleet.store.take_callers();
    assert!(callers.len() <= 12, "{callers:?}");
}

/// The strongest instances of each failure domain never read the store again after it turned them away for five
/// seconds: what they go by since is others' reading, and nothing tells them that it serves them again.
#[test]
fn relays_that_the_store_turned_away_for_a_while_come_back() {
    let mut fleet = settled(60, 3);
    fleet.look();
    let relays = fleet.store.take_callers();
    fleet.store.turned_away = relays.clone();
    fleet.looks(20);

    fleet.store.turned_away.clear();
    fleet.looks(SETTLED_LOOKS + 20);
    fleet.store.take_callers();
    fleet.looks(4);

    assert_eq!(fleet.store.take_callers(), relays);
}

/// Callers of a whole failure domain are turned away: the store was away, the targets' entries lapsed, and those
/// that were told so took them to be gone.
#[test]
fn entries_that_lapsed_while_the_store_was_away_count_with_all() {
    let mut fleet = settled(60, 3);
    fleet.store.is_away = true;
    fleet.looks(16);

    fleet.store.is_away = false;
    fleet.store.changes.push(removal("e-00", 9));
    fleet.looks(4);
    let at_first = using(&fleet, "e-00");
    fleet.looks(16);

    assert_eq!(at_first, 60);
    assert_eq!(using(&fleet, "e-00"), 0);
}

/// An instance that has just started serves with one target of four: it took a change for all there is.
#[test]
fn a_change_says_nothing_to_an_instance_that_knows_nothing_yet() {
    let mut serving = Serving::new(member(1, 7_000), rule());
    let frame = Frame {
        member: Some(member(2, 7_100)),
        word: Some(word(9, Some(8))),
        targets: vec![change("e-00", 9, TargetState::Ready)],
        ..Frame::default()
    };

    serving.on_frame(START, 2, frame, |_text| None);

    assert_eq!(serving.known_to(), None);
    assert!(serving.ready_targets().is_empty());
}

/// A target that left while an instance was cut off is never known to be gone there: the relay remembers
/// removals for a while only, and tells what it remembers.
#[test]
fn an_instance_that_was_away_for_long_gets_all_anew() {
    let mut relay = instance(1, 4);
    relay.store_told(START, 1);
    relay.target_published(START, removal("e-00", 9));
    relay.store_told(START, 9);
    let late = START + 120_000;
    relay.tick(late);
    let mut other = instance(2, 4);
    other.store_told(START, 1);
    let follow = Follow {
        known: Extent {
            revision: 1,
            version: 1,
        },
        wants_changes: true,
    };
    let asking = Frame {
        member: Some(other.own_member(late)),
        beat: Some(Beat {
            version: 1,
            revision: 1,
            asks_for_link: true,
            engine_groups: 0,
            follows: Some(follow),
        }),
        ..Frame::default()
    };

    relay.on_frame(late, 2, asking, |_text| None);
    let told = relay.relay_news(late, |_to| true);

    let [(to, frame)] = &told[..] else {
        panic!("{told:?}");
    };
    assert_eq!(*to, [other.peer_address()]);
    assert_eq!(frame.word.unwrap().since, None);
    let greeting = relay.greeting(late, other.peer_address(), false);
    other.on_frame(late, 1, greeting, |_text| None);
    other.on_frame(late, 1, frame.clone(), |_text| None);
    assert_eq!(other.ready_targets(), ["e-01", "e-02", "e-03"]);
}

/// The same where the store turns the instance away and it asks a peer: the peer told what it remembered, and the
/// target that had left got requests for good.
#[test]
fn an_instance_that_was_away_for_long_gets_all_anew_from_a_peer() {
    let mut first = instance(1, 4);
    first.target_published(START, removal("e-00", 9));
    first.store_told(START, 9);
    let late = START + 120_000;
    first.tick(late);
    let mut other = instance(2, 4);
    other.store_told(START, 1);
    other.store_failed(late);
    other.on_frame(late, 1, first.heartbeat(late), |_text| None);

    let (_peers, asked) = other.wants(late).unwrap();
    let reply = first.reply_to(late, &asked.wants.unwrap());
    other.on_frame(late, 1, reply, |_text| None);

    assert_eq!(other.ready_targets(), ["e-01", "e-02", "e-03"]);
    assert_eq!(other.known_to(), Some(9));
}

/// A change never comes to one instance, whose link broke as it was sent; the next one does, and it seems to
/// know all.
#[test]
fn a_word_that_follows_a_lost_one_counts_for_nothing() {
    let following = following(5, &word(9, Some(8)));

    assert_eq!(following.known_to(), Some(5));
    assert_eq!(following.freshest(START), None);
}

/// Two relays tell different things: one of them has an older history, or its store went back.
#[test]
fn an_older_word_confirms_nothing() {
    let following = following(9, &word(7, Some(7)));

    assert_eq!(following.known_to(), Some(9));
    assert_eq!(following.freshest(START), None);
}

/// Keys that were taken away count on: the relay has a configuration that didn't arrive here.
#[test]
fn a_word_on_a_configuration_that_is_lacking_confirms_nothing() {
    let mut newer = word(9, Some(9));
    newer.known.version = 2;

    let following = following(9, &newer);

    assert_eq!(following.freshest(START), None);
}

#[test]
fn a_word_counts_from_the_moment_at_which_the_store_told_it() {
    let old = Word {
        age_ms: 1_000,
        ..word(9, Some(9))
    };

    let following = following(9, &old);

    assert!(following.freshest(START + 499).is_some());
    assert!(following.freshest(START + 500).is_none());
}

/// An instance reads everything again though it knows all: while one change follows the other, some peer has
/// always just heard of one more.
#[test]
fn an_instance_that_keeps_up_is_not_behind() {
    let (mut first, mut second) = (instance(1, 4), instance(2, 4));

    for step in 1..10 {
        let now = MonoMs(START.0 + 250 * step);
        first.target_published(now, removal("e-00", 10 + step));
        second.on_frame(now, 1, first.heartbeat(now), |_text| None);
        second.tick(now);
        second.target_published(now, removal("e-00", 9 + step));
    }

    assert!(!second.is_behind(MonoMs(START.0 + 2_500)));
}

/// The store turns a fleet of hundreds away at its first start, since each instance reads each page. Or all are
/// without targets for a second longer than need be after they were lost, while callers wait.
#[test]
fn weak_instances_wait_to_be_told_at_the_first_start_only() {
    let patience = |run, cpu_millis, is_first_start| {
        let own = Member {
            cpu_millis,
            ..member(run, 7_000)
        };
        Serving::new(own, rule()).start_patience_ms(is_first_start)
    };

    let weak: BTreeSet<u64> = (0..50).map(|run| patience(run, 120, true)).collect();

    assert_eq!(patience(1, 500, true), 0);
    assert_eq!(patience(1, 120, false), 0);
    assert!(weak.iter().all(|patience_ms| *patience_ms >= 1_000));
    assert!(weak.len() > 25);
}

#[test]
fn a_book_that_forgot_a_removal_says_so() {
    let mut book = TargetRegistry::default();
    book.apply_store_snapshot(START, 5, vec![change("e-00", 4, TargetState::Ready)]);
    book.apply_store_change(START, removal("e-00", 7));

    let remembered = (book.has_removals_since(4), book.has_removals_since(5));
    book.confirm_removals(START + 120_000);

    assert_eq!(remembered, (false, true));
    assert!(!book.has_removals_since(6));
    assert!(book.has_removals_since(7));
}

/// In a small fleet each instance hears all others and none has anybody to go by.
#[test]
fn in_a_small_fleet_all_read_the_store() {
    let mut fleet = settled(6, 2);

    fleet.look();

    assert_eq!(fleet.store.take_callers().len(), 6);
    let duties = fleet
        .alive
        .values()
        .map(|serving| serving.store_duty(fleet.now));
    assert!(duties.into_iter().all(|duty| duty == StoreDuty::Watch));
}
