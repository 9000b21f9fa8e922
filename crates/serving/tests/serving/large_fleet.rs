//! Large fleets, in which not every instance links to every other.

use {
    super::{
        fixture::{GROUP, SHUTDOWN, START, change, instance, member, place, removal},
        fleet_fixture::Fleet,
    },
    std::{
        collections::BTreeSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Heartbeat, HeartbeatReach, Recipients, Serving,
        fleet::{EngineGroups, Frame, Member, Membership, Roster, RosterRows},
        targets::TargetState,
    },
};

/// Number of addresses that callers remember.
const MAX_ADDRESSES: usize = 64;

/// Guards against a full mesh of three hundred instances, which leaves them no processor time and delays
/// their restart by half a minute after all were killed.
#[test]
fn in_a_large_fleet_all_instances_know_each_other_over_few_links() {
    let mut fleet = Fleet::start(60);

    fleet.steps(24);

    fleet.assert_all_know(59);
    let hubs = fleet.hubs();
    assert!((3..=5).contains(&hubs.len()), "{hubs:?}");
    for address in fleet.alive.keys().filter(|address| !hubs.contains(address)) {
        let links = fleet.links_of(*address).len();
        assert!(links <= 6, "{address} has {links}");
    }
}

/// Guards against callers that are sent to an instance that has lost power, by instances without a link to
/// it.
#[test]
fn an_instance_that_died_is_known_to_be_gone_by_all() {
    let mut fleet = Fleet::start(40);
    fleet.steps(12);
    let hubs = fleet.hubs();
    let victim = *fleet
        .alive
        .keys()
        .find(|address| !hubs.contains(address))
        .unwrap();

    fleet.kill(victim);
    fleet.steps(8);

    fleet.assert_all_know(38);
}

/// Guards against a caller that connects to an instance which has just stopped: one that had received
/// frames of it earlier took the hub's newer report that it leaves for an older one, and went on naming it.
#[test]
fn a_newer_report_of_a_hub_replaces_what_the_instance_sent_itself() {
    let hub = member(2, 8_000);
    let ready = member(3, 8_100);
    let leaving = Member {
        leaving: true,
        stated_at_ms: 20,
        ..ready.clone()
    };
    let roster = Roster {
        listed: vec![leaving],
        ..Roster::default()
    };
    let own = member(1, 7_000).peer_address;
    let mut members = Membership::default();
    members.apply_member(START, hub.clone());
    members.apply_member(START, ready.clone());

    members.apply_roster(START + 20, own, hub.peer_address, roster);
    members.apply_member(START + 1_500, hub);

    let alive: Vec<&Member> = members.live_members(START + 2_000).collect();
    let named = alive.iter().find(|member| member.run == ready.run);
    assert!(named.is_some_and(|member| member.leaving));
}

/// Guards against instances that name only themselves to callers, because all hubs, whose rosters show who
/// is alive, died at the same time.
#[test]
fn the_death_of_all_hubs_leaves_nobody_out_for_long() {
    let mut fleet = Fleet::start(40);
    fleet.steps(12);

    for hub in fleet.hubs() {
        fleet.kill(hub);
    }
    let left = fleet.alive.len();
    fleet.steps(24);

    fleet.assert_all_know(left - 1);
}

/// Guards against halves of a partitioned fleet that stay apart for good, so that callers of either never
/// learn of the other's instances.
#[test]
fn the_parts_of_a_partitioned_fleet_reconnect() {
    let mut fleet = Fleet::start(40);
    fleet.steps(12);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    for (number, address) in addresses.iter().enumerate() {
        fleet.partitions.insert(*address, (number % 2) as u8);
    }
    fleet.steps(40);
    fleet.assert_all_know(19);

    fleet.partitions.clear();
    fleet.steps(24);

    fleet.assert_all_know(39);
}

/// Guards against sixty instances that receive each prompt of all others and have no processor time left
/// for their own callers: three receive them and choose for the rest.
#[test]
fn in_a_large_fleet_three_instances_choose_for_all() {
    let mut fleet = Fleet::start(20);
    fleet.steps(12);

    let deciders: Vec<_> = fleet
        .alive
        .values()
        .map(|serving| serving.deciders(GROUP))
        .filter(|deciders| !deciders.is_empty())
        .collect();

    assert_eq!(deciders.len(), 17);
    assert!(deciders.iter().all(|other| *other == deciders[0]));
    assert_eq!(deciders[0].len(), 3);
}

/// Guards against callers that all use the same sixty-four of a hundred instances while the rest are idle,
/// and against responses that name other instances each second, so that callers close their connections.
#[test]
fn each_caller_gets_the_same_instances_and_all_callers_together_get_all() {
    let mut fleet = Fleet::start(100);
    fleet.steps(16);
    let named = |serving: &Serving, caller: u8| {
        let caller = IpAddr::V4(Ipv4Addr::new(10, 9, 0, caller));
        serving.caller_addresses(fleet.now, caller, MAX_ADDRESSES)
    };
    let servings: Vec<&Serving> = fleet.alive.values().collect();

    for caller in 0..10 {
        assert_eq!(named(servings[0], caller), named(servings[1], caller));
        assert_eq!(named(servings[0], caller).len(), MAX_ADDRESSES);
    }
    let all: BTreeSet<SocketAddr> = (0..20)
        .flat_map(|caller| named(servings[0], caller))
        .collect();
    assert_eq!(all.len(), 100);
}

/// Guards against a request that crashes its targets and reaches a fourth one, because its caller retries
/// it at an instance that has no link to the one that saw the crashes.
#[test]
fn hubs_pass_on_crashes() {
    let mut fleet = Fleet::start(30);
    fleet.steps(12);
    let hubs = fleet.hubs();
    let mut others = fleet.alive.keys().filter(|address| !hubs.contains(address));
    let (first, second) = (*others.next().unwrap(), *others.next().unwrap());
    let now = fleet.now;
    for target in ["e-00", "e-01", "e-02"] {
        let serving = fleet.alive.get_mut(&first).unwrap();
        serving.record_crash(now, 7, &target.into());
    }

    for from in [vec![first], hubs].concat() {
        let news = fleet.alive.get_mut(&from).unwrap().take_news();
        for (recipients, frame) in news {
            assert_eq!(recipients, Recipients::All);
            for to in fleet.links_of(from) {
                fleet.deliver(from, to, frame.clone());
            }
        }
    }

    let mut request = super::fixture::prompt_request(5_000);
    request.fingerprint = 7;
    let refused = fleet
        .alive
        .get_mut(&second)
        .unwrap()
        .admit_prompt(now, &request);
    assert_eq!(refused, Err(whinlatch_serving::Refusal::Poison));
}

/// Guards against one instance that chooses among three thousand engines and takes milliseconds for each
/// prompt, until all others give up waiting for it.
#[test]
fn many_engines_are_divided_into_groups_of_a_bounded_size() {
    let mut groups = EngineGroups::default();
    let count_for = |groups: &mut EngineGroups, engines| {
        groups.resize(engines);
        groups.count()
    };

    assert_eq!(count_for(&mut groups, 69), 1);
    assert_eq!(count_for(&mut groups, 303), 4);
    assert_eq!(count_for(&mut groups, 3_000), 32);
    // A few engines that disappear and return change nothing.
    assert_eq!(count_for(&mut groups, 2_000), 32);
    assert_eq!(count_for(&mut groups, 600), 16);
}

#[test]
fn an_engine_belongs_to_one_group() {
    let mut groups = EngineGroups::default();
    groups.resize(300);

    for number in 0..300 {
        let engine = format!("e-{number}");
        let containing = (0..groups.count()).filter(|group| groups.group(*group).contains(&engine));
        assert_eq!(containing.count(), 1);
        assert!(groups.group_of(&engine).contains(&engine));
    }
}

/// Guards against prompts that begin seconds late on some engines all day: while targets were replaced,
/// some instances knew two hundred engines at the same time and have divided them into four groups since,
/// others into two. Deciders of both divisions choose among the same engines without receiving each other's
/// prompts.
#[test]
fn all_divide_the_engines_into_the_same_groups() {
    let mut fleet = Fleet::start(20);
    fleet.steps(12);
    let publish = |fleet: &mut Fleet,
                   share: usize,
                   revision: u64,
                   engines: std::ops::Range<u32>,
                   is_published| {
        for serving in fleet.alive.values_mut().step_by(share) {
            for number in engines.clone() {
                let name = format!("e-{number:03}");
                let entry = if is_published {
                    change(&name, revision, TargetState::Ready)
                } else {
                    removal(&name, revision)
                };
                serving.apply_store_change(START, &entry);
            }
        }
    };
    publish(&mut fleet, 1, 1, 0..180, true);
    fleet.steps(4);

    publish(&mut fleet, 2, 1, 180..200, true);
    fleet.step();
    publish(&mut fleet, 2, 2, 180..200, false);
    fleet.steps(8);

    let counts: BTreeSet<u32> = fleet
        .alive
        .values()
        .map(|serving| serving.own_groups()[0].count)
        .collect();
    assert_eq!(counts.len(), 1, "{counts:?}");
}

/// Guards against groups of engines that fill up one after the other: prompts go to all groups alike.
#[test]
fn prompts_are_divided_among_groups() {
    let mut serving = instance(1, 200);
    serving.tick(START);
    let groups = serving.own_groups();

    let tried: BTreeSet<u32> = (0..200)
        .map(|_| serving.groups_to_try()[0].number)
        .collect();

    assert_eq!(groups.len(), 4);
    assert_eq!(tried.len(), 4);
    place(&mut serving, START, 5_000).unwrap();
}

/// Guards against members that a compact roster changes or loses.
#[test]
fn a_compact_roster_is_the_same_roster() {
    let in_domain = |domain: &str, run, port| Member {
        failure_domain: domain.into(),
        ..member(run, port)
    };
    let v6 = Member {
        caller_address: "[fd00::1]:80".parse().unwrap(),
        ready: false,
        reads_rows: false,
        ..in_domain("west", 4, 7_300)
    };
    let roster = Roster {
        is_full: true,
        listed: vec![in_domain("east", 2, 7_100), in_domain("east", 3, 7_200), v6],
        gone: vec![member(5, 7_400).peer_address],
    };

    let compact = RosterRows::from(&roster);

    assert_eq!(Roster::from(compact), roster);
}

/// Guards against a rolling replacement of the fleet in which instances of the former build know nobody but the
/// hubs, since they don't read the compact form.
#[test]
fn an_instance_of_a_former_build_gets_the_roster_that_it_reads() {
    let mut fleet = Fleet::start(40);
    fleet.steps(12);
    let hubs = fleet.hubs();
    let is_no_hub = |address: &&SocketAddr| !hubs.contains(address);
    let addresses: Vec<SocketAddr> = fleet.alive.keys().filter(is_no_hub).copied().collect();
    let (former, leaving) = (addresses[0], addresses[1]);
    let own_state = |fleet: &Fleet, address| Member {
        stated_at_ms: fleet.now.0 + 1,
        ..fleet.alive[&address].own_member(fleet.now)
    };
    let stating = |member| Frame {
        member: Some(member),
        ..Frame::default()
    };
    let of_former_build = Member {
        reads_rows: false,
        ..own_state(&fleet, former)
    };
    let about_to_leave = Member {
        leaving: true,
        ..own_state(&fleet, leaving)
    };
    fleet.deliver(former, hubs[0], stating(of_former_build));

    let greeting = fleet.alive[&hubs[0]].greeting(fleet.now, former, false);
    fleet.deliver(leaving, hubs[0], stating(about_to_leave));
    let now = fleet.now;
    let news = fleet.alive.get_mut(&hubs[0]).unwrap().roster_news(now);

    assert!(greeting.roster.is_some() && greeting.roster_rows.is_none());
    let [
        (Recipients::All, compact),
        (Recipients::Peers(peers), plain),
    ] = &news[..]
    else {
        panic!("{news:?}");
    };
    assert_eq!(*peers, [former]);
    assert!(compact.roster_rows.is_some() && compact.roster.is_none());
    assert!(plain.roster.is_some() && plain.roster_rows.is_none());
}

/// Returns the reach of the next eight heartbeats of an instance, and checks that those over all links name peers.
fn reaches(serving: &mut Serving, now: MonoMs, is_starting: bool) -> Vec<HeartbeatReach> {
    let next = |_number| {
        let Heartbeat { frame, reach } = serving.heartbeat(now, is_starting);
        let names_peers = !frame.peers.is_empty();
        assert_eq!(names_peers, reach == HeartbeatReach::AllLinks);
        reach
    };
    (0..8).map(next).collect()
}

/// Returns a fleet whose instances know each other, and an instance that is no hub.
fn fleet_with_follower() -> (Fleet, SocketAddr) {
    let mut fleet = Fleet::start(40);
    fleet.steps(12);
    let hubs = fleet.hubs();
    let mut addresses = fleet.alive.keys();
    let follower = *addresses.find(|address| !hubs.contains(address)).unwrap();
    (fleet, follower)
}

/// Guards against heartbeats that take most of what instances exchange at rest: an instance has a dozen links to deciders
/// and one to each hub.
#[test]
fn most_heartbeats_of_a_large_fleet_go_to_and_from_hubs_only() {
    let (mut fleet, follower) = fleet_with_follower();
    let (now, hubs) = (fleet.now, fleet.hubs());
    let serving = fleet.alive.get_mut(&follower).unwrap();

    let reaches = reaches(serving, now, false);

    let to_all = reaches
        .iter()
        .filter(|reach| **reach == HeartbeatReach::AllLinks);
    assert_eq!(to_all.count(), 2);
    assert!(serving.is_hub_link(hubs[0]) && !serving.is_hub_link(follower));
}

/// Guards against instances that start together and find each other late, since their heartbeats name nobody.
#[test]
fn each_heartbeat_of_a_starting_instance_goes_over_all_links() {
    let (mut fleet, follower) = fleet_with_follower();
    let now = fleet.now;
    let serving = fleet.alive.get_mut(&follower).unwrap();

    let reaches = reaches(serving, now, true);

    assert_eq!(reaches, [HeartbeatReach::AllLinks; 8]);
}

/// Guards against callers that are sent to an instance which stops, by peers that learn of it from nobody while all hubs are
/// gone.
#[test]
fn a_heartbeat_with_a_changed_state_goes_over_all_links() {
    let (mut fleet, follower) = fleet_with_follower();
    let now = fleet.now;
    let serving = fleet.alive.get_mut(&follower).unwrap();
    while serving.heartbeat(now, false).reach == HeartbeatReach::AllLinks {}

    serving.leave(now, SHUTDOWN);
    let heartbeat = serving.heartbeat(now, false);

    assert_eq!(heartbeat.reach, HeartbeatReach::AllLinks);
    assert!(heartbeat.frame.member.unwrap().leaving);
}

/// Guards against a small fleet in which instances that link to all others are taken for dead.
#[test]
fn each_heartbeat_of_a_small_fleet_goes_over_all_links() {
    let mut fleet = Fleet::start(9);
    fleet.steps(4);
    let now = fleet.now;
    let serving = fleet.alive.values_mut().next().unwrap();

    let reaches = reaches(serving, now, false);

    assert_eq!(reaches, [HeartbeatReach::AllLinks; 8]);
}
