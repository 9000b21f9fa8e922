//! Calls of plain services in fleets whose instances share what they know of the targets: seven targets with six slots
//! each, and 18 calls per second to all of them.

use {
    super::{
        fixture::{START, change, engine_entry},
        fleet_fixture::Fleet,
    },
    std::{cell::Cell, cmp::Reverse, collections::BinaryHeap, net::SocketAddr, rc::Rc},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        CallRequest, Recipients, Serving,
        calls::{CallOutcome, CallPicture, CallReport, FleetCalls},
        fleet::{Frame, hash},
        mechanism::{DisabledMechanisms, Mechanism},
        names::{ServiceName, TargetId},
        targets::{CallLoads, FleetCallLoad, TargetChange, TargetEntry, TargetState},
    },
};

/// Calls per second to all targets, over the whole fleet.
const CALLS_PER_S: u64 = 18;
/// Time after which a call without an answer is given up, in ms.
const DEADLINE_MS: u64 = 2_500;
/// Time between two steps of the fleet, in ms.
const STEP_MS: u64 = 250;
/// Number of targets.
const TARGETS: usize = 7;
/// Instances of a large fleet that all others know: the hubs, and as many more as make the fleet a large one.
const KNOWN_INSTANCES: usize = 13;
/// Size from which a fleet is large, and only the frames of heartbeats are delivered that concern calls.
const MIN_LARGE_FLEET: u64 = 62;

/// What a target does with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    After(u64),
    Failure,
    Never,
}

/// A call that ends at a later time.
type Pending = Reverse<(MonoMs, u64, SocketAddr, TargetId, MonoMs, bool, bool)>;

/// A call that was sent.
struct Sent {
    at: MonoMs,
    target: TargetId,
}

/// Calls of a plain service to a fleet.
struct CallLoad {
    fleet: Fleet,
    rng: fastrand::Rng,
    pending: BinaryHeap<Pending>,
    sent: Vec<Sent>,
    /// When the first call was given up without an answer.
    first_given_up: Option<MonoMs>,
    number: u64,
    calls_per_s: u64,
    /// The instances that all others know, the hubs first; empty if the fleet delivers all frames itself.
    known: Vec<SocketAddr>,
}

fn service() -> ServiceName {
    "plain".into()
}

fn target(number: usize) -> TargetId {
    format!("p-{number}").as_str().into()
}

fn plain_change(number: usize) -> TargetChange {
    let name = target(number);
    TargetChange {
        entry: Some(TargetEntry {
            service: service(),
            slots: 6,
            ..engine_entry(&name, TargetState::Ready)
        }),
        ..change(&name, 1, TargetState::Ready)
    }
}

impl CallLoad {
    fn start(instances: u64, targets: usize) -> Self {
        let mut fleet = Fleet::start(instances);
        let now = fleet.now;
        for serving in fleet.alive.values_mut() {
            for number in 0..targets {
                serving.apply_store_change(now, &plain_change(number));
            }
        }
        let mut known: Vec<SocketAddr> = Vec::new();
        if instances >= MIN_LARGE_FLEET {
            known.extend(fleet.alive.keys());
            known.sort_by_key(|address| hash(0, *address));
            known.truncate(KNOWN_INSTANCES);
        } else {
            fleet.steps(12);
        }
        let mut load = Self {
            fleet,
            known,
            rng: fastrand::Rng::with_seed(7),
            pending: BinaryHeap::new(),
            sent: Vec::new(),
            first_given_up: None,
            number: 0,
            calls_per_s: CALLS_PER_S,
        };
        load.steps(4);
        load
    }

    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            if self.known.is_empty() {
                self.fleet.step();
            } else {
                self.step_large_fleet();
            }
        }
    }

    /// Advances the time by one step. Delivers the heartbeats of a few instances to all, and the reports of calls.
    ///
    /// A fleet of 295 instances in which all frames are delivered takes a second for each step.
    fn step_large_fleet(&mut self) {
        let now = self.fleet.now + STEP_MS;
        self.fleet.now = now;
        let addresses: Vec<SocketAddr> = self.fleet.alive.keys().copied().collect();
        for serving in self.fleet.alive.values_mut() {
            serving.tick(now);
        }
        if !now.0.is_multiple_of(2 * STEP_MS) {
            return;
        }
        for from in self.known.clone() {
            let Some(serving) = self.fleet.alive.get_mut(&from) else {
                continue;
            };
            let heartbeat = Frame {
                member: Some(serving.own_member(now)),
                ..serving.heartbeat(now, false).frame
            };
            for to in addresses.iter().filter(|to| **to != from) {
                self.fleet.deliver(from, *to, heartbeat.clone());
            }
        }
        for from in addresses {
            let report = self.fleet.alive.get_mut(&from).unwrap().call_report();
            let Some((Recipients::Peers(hubs), frame)) = report else {
                continue;
            };
            for to in hubs {
                self.fleet.deliver(from, to, frame.clone());
            }
        }
    }

    fn disable(&mut self, mechanisms: &[Mechanism]) {
        let disabled: DisabledMechanisms = mechanisms.iter().copied().collect();
        for serving in self.fleet.alive.values_mut() {
            serving.disable_mechanisms(disabled);
        }
    }

    /// Sends calls for some steps of the fleet; `answer` decides what a target does with each.
    fn run(&mut self, steps: usize, mut answer: impl FnMut(&str, &mut fastrand::Rng) -> Answer) {
        for _ in 0..steps {
            let from = self.fleet.now;
            let count = self.calls_per_s * STEP_MS / 1_000 + u64::from(self.rng.bool());
            let mut arrivals: Vec<u64> = (0..count).map(|_| self.rng.u64(0..STEP_MS)).collect();
            arrivals.sort_unstable();
            for after_ms in arrivals {
                self.end_calls(from + after_ms);
                self.send(from + after_ms, &mut answer);
            }
            self.end_calls(from + STEP_MS);
            self.steps(1);
        }
    }

    fn send(&mut self, now: MonoMs, answer: &mut impl FnMut(&str, &mut fastrand::Rng) -> Answer) {
        let addresses: Vec<SocketAddr> = self.fleet.alive.keys().copied().collect();
        let at = addresses[self.rng.usize(..addresses.len())];
        let service = service();
        let request = CallRequest {
            parts: &[],
            service: &service,
            fingerprint: self.rng.u64(..),
            tried: &[],
            is_repeat: false,
        };
        let serving = self.fleet.alive.get_mut(&at).unwrap();
        let target = serving.place_call(now, &request).unwrap().target.id;
        let (took_ms, failed, is_answered) = match answer(&target, &mut self.rng) {
            Answer::After(took_ms) => (took_ms, false, true),
            Answer::Failure => (10, true, true),
            Answer::Never => (DEADLINE_MS, true, false),
        };
        self.number += 1;
        self.sent.push(Sent {
            at: now,
            target: target.clone(),
        });
        self.pending.push(Reverse((
            now + took_ms,
            self.number,
            at,
            target,
            now,
            failed,
            is_answered,
        )));
    }

    fn end_calls(&mut self, until: MonoMs) {
        while let Some(Reverse(next)) = self.pending.peek()
            && next.0 <= until
        {
            let Some(Reverse((now, _, at, target, sent_at, failed, is_answered))) =
                self.pending.pop()
            else {
                return;
            };
            let Some(serving) = self.fleet.alive.get_mut(&at) else {
                continue;
            };
            let took_ms = now.since(sent_at) as f64;
            if is_answered {
                serving.record_call_ended(now, &target, took_ms, failed);
            } else {
                self.first_given_up.get_or_insert(now);
                serving.record_call_unanswered(now, &target, took_ms);
            }
        }
    }

    /// Returns the number of calls since a time, and how many of them went to a target.
    fn sent_since(&self, from: MonoMs, target: &str) -> (usize, usize) {
        let since: Vec<&Sent> = self.sent.iter().filter(|sent| sent.at >= from).collect();
        let to_target = since.iter().filter(|sent| &*sent.target == target).count();
        (since.len(), to_target)
    }

    /// Returns the only hub that sends the view, the one whose own view has no age.
    fn first_hub(&self) -> SocketAddr {
        let now = self.fleet.now + 1;
        let is_first =
            |serving: &&Serving| serving.is_hub() && serving.call_picture_age_ms(now) == Some(0);
        let first: Vec<SocketAddr> = (self.fleet.alive.values().filter(is_first))
            .map(Serving::peer_address)
            .collect();
        assert_eq!(first.len(), 1, "{first:?}");
        first[0]
    }
}

fn healthy(rng: &mut fastrand::Rng) -> Answer {
    Answer::After(rng.u64(25..45))
}

/// The first target never answers 45 % of its calls.
fn one_is_silent(target: &str, rng: &mut fastrand::Rng) -> Answer {
    if target == "p-0" && rng.f64() < 0.45 {
        return Answer::Never;
    }
    healthy(rng)
}

/// Returns the share of the calls that a target gets which never answers 45 % of them, from three seconds after the
/// first of these was given up, during `steps` steps.
fn share_of_silent_target(instances: u64, steps: usize, disabled: &[Mechanism]) -> (usize, usize) {
    let mut load = CallLoad::start(instances, TARGETS);
    load.disable(disabled);
    load.run(16, |_target, rng| healthy(rng));
    load.run(24 + steps, one_is_silent);
    let from = load.first_given_up.unwrap() + 3_000;
    load.sent_since(from, "p-0")
}

/// Guards against a target that never answers some of its calls and gets as many as the others, since each instance
/// knows only its own calls.
#[test]
fn a_silent_target_gets_at_most_one_call_in_fifty() {
    for (instances, steps) in [(9, 160), (62, 160), (295, 24)] {
        let (all, to_silent) = share_of_silent_target(instances, steps, &[]);

        assert!(50 * to_silent <= all, "{instances}: {to_silent} of {all}");
    }
}

/// Guards against a load under which each instance would find the silent target by its own calls, so that the test
/// above shows nothing.
#[test]
fn without_a_shared_view_a_silent_target_gets_more() {
    let disabled = [Mechanism::SharedCalls];

    let (all, to_silent) = share_of_silent_target(9, 160, &disabled);

    assert!(50 * to_silent > all, "{to_silent} of {all}");
}

/// Returns how many of 700 calls an instance would send to a target now.
fn calls_to(serving: &mut Serving, now: MonoMs, target: &str) -> usize {
    let service = service();
    let request = CallRequest {
        parts: &[],
        service: &service,
        fingerprint: 0,
        tried: &[],
        is_repeat: false,
    };
    let mut chosen = || {
        let placed = serving.place_call(now, &request).unwrap().target;
        serving.record_call_withdrawn(&placed.id);
        placed.id
    };
    (0..700).filter(|_| &*chosen() == target).count()
}

/// Returns an instance that reads the view of a hub.
fn reader(load: &CallLoad) -> SocketAddr {
    let mut instances = load.fleet.alive.keys();
    let is_reader = |at: &&SocketAddr| !load.known.contains(at);
    *instances.find(is_reader).unwrap()
}

fn first_fails(target: &str, rng: &mut fastrand::Rng) -> Answer {
    match target {
        "p-0" => Answer::Failure,
        _ => healthy(rng),
    }
}

/// Guards against targets that are avoided though none is worse than another: a kind of call fails everywhere, or the
/// callers' requests themselves are at fault.
#[test]
fn targets_that_fail_alike_get_alike_many_calls() {
    let mut load = CallLoad::start(9, TARGETS);
    load.run(160, |_target, rng| {
        if rng.f64() < 0.14 {
            Answer::Failure
        } else {
            healthy(rng)
        }
    });

    for number in 0..TARGETS {
        let (all, to_target) = load.sent_since(START, &target(number));
        assert!(
            to_target * TARGETS * 2 > all,
            "{number}: {to_target} of {all}"
        );
    }
}

/// Guards against a target that gets no calls any more after it has recovered.
#[test]
fn a_target_that_recovers_gets_its_share_again() {
    let mut load = CallLoad::start(9, TARGETS);
    load.run(16, |_target, rng| healthy(rng));
    load.run(60, first_fails);
    load.run(80, |_target, rng| healthy(rng));
    let recovered_at = load.fleet.now;
    load.run(80, |_target, rng| healthy(rng));

    let (all, to_recovered) = load.sent_since(recovered_at, "p-0");
    assert!(to_recovered * TARGETS * 2 > all, "{to_recovered} of {all}");
}

/// Guards against instances that call a failing target again because the hub that sent the view has failed.
#[test]
fn the_next_hub_continues_with_the_same_view() {
    let mut load = CallLoad::start(62, TARGETS);
    load.run(16, |_target, rng| healthy(rng));
    load.run(40, first_fails);
    let first = load.first_hub();

    load.fleet.kill(first);
    let failed_at = load.fleet.now;
    load.run(40, first_fails);

    assert_ne!(load.first_hub(), first);
    let (all, to_failing) = load.sent_since(failed_at, "p-0");
    assert!(50 * to_failing <= all, "{to_failing} of {all}");
}

/// Guards against an instance that goes on deciding by a view of which it hears nothing any more.
#[test]
fn an_instance_without_a_view_for_three_seconds_decides_by_its_own_calls() {
    let mut load = CallLoad::start(62, TARGETS);
    load.run(16, |_target, rng| healthy(rng));
    load.run(24, first_fails);
    let reader = reader(&load);
    let now = load.fleet.now;
    let serving = load.fleet.alive.get_mut(&reader).unwrap();
    assert_eq!(calls_to(serving, now, "p-0"), 0);

    let disabled: DisabledMechanisms = [Mechanism::SharedCalls].into_iter().collect();
    for hub in &load.known {
        let serving = load.fleet.alive.get_mut(hub).unwrap();
        serving.disable_mechanisms(disabled);
    }
    load.steps(40);

    let now = load.fleet.now;
    let serving = load.fleet.alive.get_mut(&reader).unwrap();
    let age_ms = serving.call_picture_age_ms(now);
    assert!(age_ms >= Some(3_000), "{age_ms:?}");
    assert!(calls_to(serving, now, "p-0") > 0);
}

/// Guards against two views that an instance applies in turns, while another hub doesn't hear the first one.
#[test]
fn only_the_view_of_the_first_hub_counts() {
    let mut load = CallLoad::start(62, TARGETS);
    load.run(16, |_target, rng| healthy(rng));
    let now = load.fleet.now;
    let first = load.first_hub();
    let view = Frame {
        call_picture: vec![CallPicture {
            target: target(0),
            in_flight: 0,
            answer_ms: Some(30),
            late_ms: Some(60),
            failure_share: 0.9,
        }],
        ..Frame::default()
    };
    let run_of = |load: &CallLoad, at| load.fleet.alive[&at].own_member(now).run;
    let other = *load.known.iter().find(|at| **at != first).unwrap();
    let (first, other) = (run_of(&load, first), run_of(&load, other));
    let reader = reader(&load);
    let serving = load.fleet.alive.get_mut(&reader).unwrap();

    serving.on_frame(now, other, view.clone(), |_text| None);
    let after_other = calls_to(serving, now, "p-0");
    serving.on_frame(now, first, view, |_text| None);

    assert!(after_other > 0);
    assert_eq!(calls_to(serving, now, "p-0"), 0);
}

/// Guards against reports and views that use the links of a large fleet which prompts need.
#[test]
fn reports_and_views_stay_small() {
    for (instances, steps) in [(9, 40), (62, 40), (295, 16)] {
        let bytes = Rc::new(Cell::new(0));
        let mut load = CallLoad::start(instances, TARGETS);
        let counted = Rc::clone(&bytes);
        load.fleet.on_sent = Box::new(move |_from, frame| {
            if frame.calls.is_empty() && frame.call_picture.is_empty() {
                return;
            }
            let frame = Frame {
                calls: frame.calls.clone(),
                call_picture: frame.call_picture.clone(),
                ..Frame::default()
            };
            let mut encoded = Vec::new();
            ciborium::into_writer(&frame, &mut encoded).unwrap();
            counted.set(counted.get() + encoded.len());
        });

        load.run(steps, one_is_silent);

        let seconds = steps * STEP_MS as usize / 1_000;
        let bytes_per_s = bytes.get() / seconds / instances as usize;
        assert!(bytes_per_s < 2_000, "{instances}: {bytes_per_s}");
    }
}

/// Guards against calls in flight that count for ever, of an instance that has lost power.
#[test]
fn the_calls_of_an_instance_that_failed_are_not_counted() {
    let mut load = CallLoad::start(9, 4);
    load.run(8, |_target, _rng| Answer::Never);
    let addresses: Vec<SocketAddr> = load.fleet.alive.keys().copied().collect();
    let is_busy = |load: &CallLoad| load.fleet.alive[&addresses[0]].is_service_busy("plain");
    assert!(is_busy(&load));

    for address in &addresses[1..] {
        load.fleet.kill(*address);
    }
    load.steps(16);

    assert!(!is_busy(&load));
}

fn ids(count: usize) -> Vec<TargetId> {
    (0..count).map(target).collect()
}

/// Returns ten calls each of a fleet to `count` targets, all of them answered.
fn answered_calls(count: usize) -> FleetCalls {
    let mut calls = FleetCalls::default();
    for id in ids(count) {
        for _ in 0..10 {
            calls.record(START, &id, CallOutcome::Answered { took_ms: 30.0 });
        }
    }
    calls
}

/// Guards against one wrong report that outweighs those of all other instances.
#[test]
fn a_report_counts_for_a_limited_number_of_calls() {
    let mut calls = FleetCalls::default();
    let report = CallReport {
        target: target(0),
        in_flight: u32::MAX,
        answers: vec![(14, u32::MAX)],
        failed: u32::MAX,
        unanswered: u32::MAX,
    };
    calls.apply_report(START, 9, &report);

    let load = calls.load(START, &target(0)).unwrap();

    assert!(load.in_flight_elsewhere <= 1_000);
    assert!(load.failure_share < 1.0);
}

/// Returns how many of 8,000 calls go to each of some targets, of which the first `bad` fail nine calls in ten as the
/// fleet knows.
fn chosen(count: usize, bad: usize) -> Vec<usize> {
    let entries: Vec<TargetEntry> = (0..count)
        .filter_map(|number| plain_change(number).entry)
        .collect();
    let mut loads = CallLoads::default();
    for number in 0..bad {
        let failing = FleetCallLoad {
            failure_share: 0.9,
            ..FleetCallLoad::default()
        };
        loads.set_fleet_load(&target(number), failing);
    }
    let mut rng = fastrand::Rng::with_seed(3);
    let mut counts = vec![0; count];
    for _ in 0..8_000 {
        let entry = loads.choose(START, entries.iter(), &[], &mut rng).unwrap();
        let number = entries.iter().position(|other| other.id == entry.id);
        counts[number.unwrap()] += 1;
    }
    counts
}

/// Guards against failing targets that get their full share of the calls since half of the service fails, or since
/// nothing is known of the others.
#[test]
fn failing_targets_are_avoided_where_half_of_the_service_fails() {
    for (count, bad) in [(2, 1), (4, 2), (3, 1)] {
        let counts = chosen(count, bad);

        let to_failing: usize = counts[..bad].iter().sum();
        assert!(to_failing < 80, "{bad} of {count}: {counts:?}");
    }
}

/// Guards against a view in which some targets are never listed, since those that change more often come first.
#[test]
fn the_longest_unsent_rows_come_first() {
    let mut calls = answered_calls(20);
    let row = |id: &TargetId| CallPicture {
        target: id.clone(),
        in_flight: 0,
        answer_ms: Some(30),
        late_ms: Some(60),
        failure_share: 0.0,
    };
    let rows: Vec<CallPicture> = ids(20).iter().map(row).collect();

    let first = calls.rows_to_send(START, rows.clone());
    let second = calls.rows_to_send(START + 500, rows.clone());
    let third = calls.rows_to_send(START + 1_000, rows.clone());
    let refreshed = calls.rows_to_send(START + 2_000, rows);

    assert_eq!((first.len(), second.len(), third.len()), (16, 4, 0));
    assert_eq!(refreshed.len(), 16);
    assert!(first.iter().all(|row| !second.contains(row)));
}

/// Guards against memory that grows with the reports of targets that are long gone, or that nobody published.
#[test]
fn reports_of_unknown_targets_are_dropped() {
    let mut load = CallLoad::start(9, 2);
    let addresses: Vec<SocketAddr> = load.fleet.alive.keys().copied().collect();
    let report = CallReport {
        target: "unknown".into(),
        in_flight: 100,
        answers: vec![(3, 30), (200, 1)],
        failed: 1,
        unanswered: 0,
    };
    let known = CallReport {
        target: target(0),
        ..report.clone()
    };
    let frame = Frame {
        calls: vec![report, known],
        ..Frame::default()
    };

    load.fleet.deliver(addresses[0], addresses[1], frame);
    load.steps(1);

    let serving = &load.fleet.alive[&addresses[1]];
    assert!(serving.is_service_busy("plain"));
    assert!(serving.late_answer_ms(load.fleet.now, "plain").is_some());
}
