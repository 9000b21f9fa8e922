//! Parts of prompts that crash each engine which begins to answer, and sound ones beside them, in fleets of several sizes.

use {
    super::{
        fixture::{START, instance, prompt_request},
        fleet_fixture::Fleet,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        BrokenAttempt, PromptRequest, Refusal, Serving,
        fleet::PartCrash,
        names::{PartId, TargetId},
        retries::PartTracker,
    },
};

/// Steps until the instances of a fleet know each other.
const SETTLING_STEPS: usize = 12;
/// Run of an instance that starts during a test.
const NEW_RUN: u64 = 9_999;
/// Part with which all prompts begin.
const FIRST: PartId = PartId(0xf1);
/// Part that crashes engines.
const BAD: PartId = PartId(0xbad);
const OTHER_BAD: PartId = PartId(0xbad2);
const GOOD: PartId = PartId(0x900d);
/// Steps within which the instances tell each other that a part is sound.
const STATEMENT_STEPS: usize = 6;
/// Time from the begin of an attempt to the crash of its engine, in ms.
const RUN_MS: u64 = 200;
/// Sound prompts that end in each step, as the instances in reach of callers see them.
const SOUND_PER_STEP: usize = 4;

/// A prompt that is like no other, with these parts.
fn prompt(parts: &[PartId]) -> PromptRequest {
    PromptRequest {
        parts: Arc::from(parts),
        ..prompt_request(5_000)
    }
}

fn crash(parts: &[PartId], target: &str) -> PartCrash {
    PartCrash {
        parts: parts.to_vec(),
        target: target.into(),
        ran_ms: RUN_MS,
        age_ms: 0,
    }
}

/// A fleet in which prompts arrive at instances drawn at random.
struct Play {
    fleet: Fleet,
    addresses: Vec<SocketAddr>,
    rng: fastrand::Rng,
    /// Engines that have crashed so far.
    crashed: usize,
}

impl Play {
    fn settled(count: u64) -> Self {
        let mut fleet = Fleet::start(count);
        fleet.steps(SETTLING_STEPS);
        Self {
            addresses: fleet.alive.keys().copied().collect(),
            fleet,
            rng: fastrand::Rng::with_seed(count),
            crashed: 0,
        }
    }

    fn draw(&mut self) -> &mut Serving {
        let address = self.addresses[self.rng.usize(..self.addresses.len())];
        self.fleet.alive.get_mut(&address).unwrap()
    }

    /// Has a prompt arrive. If it is sent, its engine crashes, and the instance finds that out.
    fn arrive_and_crash(&mut self, parts: &[PartId]) {
        let now = self.fleet.now;
        let prompt = prompt(parts);
        let number = self.crashed;
        let serving = self.draw();
        if serving.admit_prompt(now, &prompt).is_ok() {
            crash_engine(serving, now, &prompt, number);
            self.crashed += 1;
        }
    }

    /// Has prompts end well.
    fn serve(&mut self, parts: &[PartId], count: usize) {
        let now = self.fleet.now;
        for _ in 0..count {
            self.draw().record_sound_parts(now, parts);
        }
    }

    fn step(&mut self) {
        self.fleet.deliver_news();
        self.fleet.step();
        self.fleet.deliver_news();
    }

    /// Returns the number of instances that would send a prompt with these parts.
    fn admitting(&mut self, parts: &[PartId]) -> usize {
        let now = self.fleet.now;
        let prompt = prompt(parts);
        let instances = self.fleet.alive.values_mut();
        instances
            .map(|serving| serving.admit_prompt(now, &prompt))
            .filter(|admitted| *admitted != Err(Refusal::PoisonPart))
            .count()
    }
}

/// Has an engine crash under a prompt, and a connection to it be refused afterwards.
fn crash_engine(serving: &mut Serving, now: MonoMs, prompt: &PromptRequest, number: usize) {
    let target = TargetId::from(format!("run-{number}").as_str());
    let attempt = BrokenAttempt {
        target: &target,
        fingerprint: prompt.fingerprint,
        parts: &prompt.parts,
        sent_at: MonoMs(now.0 - RUN_MS),
        is_proven: true,
    };
    serving.record_broken_attempt(now, &attempt);
    // Its entry isn't there, as that of a target that has died.
    serving.tick(now);
}

/// Guards against a part that crashes engine after engine, since no two prompts with it are alike, and against sound
/// prompts that are refused with it.
#[test]
fn a_part_that_crashes_engines_is_refused_by_all_and_those_beside_it_are_not() {
    for count in [9, 62, 295] {
        let mut play = Play::settled(count);
        for _ in 0..8 {
            play.step();
            play.arrive_and_crash(&[FIRST, BAD]);
            play.serve(&[FIRST, GOOD], SOUND_PER_STEP);
        }
        play.step();

        assert!(play.crashed <= 5, "{count}: {}", play.crashed);
        assert_eq!(play.admitting(&[FIRST, BAD]), 0, "{count}");
        assert_eq!(
            play.admitting(&[FIRST, GOOD]),
            play.addresses.len(),
            "{count}"
        );
    }
}

/// As above, with two such parts at a time.
#[test]
fn two_parts_that_crash_engines_are_both_refused() {
    let mut play = Play::settled(9);
    for _ in 0..8 {
        play.step();
        play.arrive_and_crash(&[FIRST, BAD]);
        play.arrive_and_crash(&[FIRST, OTHER_BAD]);
        play.serve(&[FIRST, GOOD], SOUND_PER_STEP);
    }

    assert!(play.crashed <= 10, "{}", play.crashed);
    assert_eq!(play.admitting(&[FIRST, BAD]), 0);
    assert_eq!(play.admitting(&[FIRST, OTHER_BAD]), 0);
    assert_eq!(play.admitting(&[FIRST, GOOD]), play.addresses.len());
}

/// Guards against parts that are condemned since engines which were beginning to answer lost power together.
#[test]
fn parts_of_prompts_that_engines_ran_when_they_lost_power_together_are_not_refused() {
    let mut play = Play::settled(9);
    let now = play.fleet.now;

    for number in 0..14 {
        let delay_ms = 7 * (number as u64 % 10);
        play.fleet.now = now + delay_ms;
        play.arrive_and_crash(&[FIRST, GOOD]);
        play.fleet.deliver_news();
    }

    assert_eq!(play.admitting(&[FIRST, GOOD]), play.addresses.len());
}

/// Guards against common parts that are condemned since engines restart one after the other.
#[test]
fn parts_of_prompts_that_engines_ran_when_they_restarted_in_turn_are_not_refused() {
    let mut play = Play::settled(9);
    for _ in 0..14 {
        play.step();
        play.arrive_and_crash(&[FIRST, GOOD]);
        play.serve(&[FIRST, GOOD], 1);
    }
    for _ in 0..STATEMENT_STEPS {
        play.step();
    }

    assert_eq!(play.admitting(&[FIRST, GOOD]), play.addresses.len());
}

/// Guards against common parts that an instance which serves few prompts condemns, and the fleet with it.
#[test]
fn a_part_is_not_refused_while_answers_go_on_well_with_it_elsewhere() {
    for count in [9, 62] {
        let mut play = Play::settled(count);
        let lone = play.addresses[0];
        let others = play.addresses.split_off(1);
        let lone_serving = |play: &mut Play, number: usize| {
            let now = play.fleet.now;
            let serving = play.fleet.alive.get_mut(&lone).unwrap();
            crash_engine(serving, now, &prompt(&[FIRST, GOOD]), number);
        };
        for number in 0..8 {
            play.step();
            lone_serving(&mut play, number);
            let now = play.fleet.now;
            for address in &others {
                let serving = play.fleet.alive.get_mut(address).unwrap();
                serving.record_sound_parts(now, &[FIRST, GOOD]);
            }
        }
        play.step();

        let all = play.fleet.alive.len();
        assert_eq!(play.admitting(&[FIRST, GOOD]), all, "{count}");
    }
}

/// Guards against crashes by instances that have started, or were partitioned from their peers, since a part was found to
/// crash engines.
#[test]
fn instances_that_start_or_were_cut_off_refuse_a_part_that_crashed_engines_before() {
    for count in [9, 62] {
        let mut play = Play::settled(count);
        let cut = play.addresses[play.addresses.len() - 1];
        let started = play.addresses[play.addresses.len() - 2];
        play.addresses.truncate(play.addresses.len() - 2);
        play.fleet.partitions.insert(cut, 1);
        for _ in 0..8 {
            play.step();
            play.arrive_and_crash(&[FIRST, BAD]);
            play.serve(&[FIRST, GOOD], SOUND_PER_STEP);
        }

        play.fleet.partitions.clear();
        play.fleet.restart(started, NEW_RUN);
        play.fleet.steps(SETTLING_STEPS);

        assert_eq!(play.admitting(&[FIRST, BAD]), 0, "{count}");
    }
}

/// Guards against notices whose number grows with the square of the fleet: each crash is told once, and each part that is
/// refused.
#[test]
fn the_notices_of_a_part_that_crashes_engines_are_few() {
    for count in [9, 62, 295] {
        let mut play = Play::settled(count);
        let notices = Rc::new(Cell::new(0));
        let counted = Rc::clone(&notices);
        play.fleet.on_sent = Box::new(move |_from, frame| {
            let parts =
                frame.part_crashes.len() + frame.condemned_parts.len() + frame.sound_parts.len();
            counted.set(counted.get() + parts);
        });
        for _ in 0..8 {
            play.step();
            play.arrive_and_crash(&[FIRST, BAD]);
            play.serve(&[FIRST, GOOD], SOUND_PER_STEP * count as usize / 9);
        }

        // Four crashes over three hubs, which pass each on to all, with one statement each about two parts; all instances
        // that refuse a part state it once, over their own few links.
        let per_instance = notices.get() as f64 / count as f64;
        assert!(per_instance <= 80.0, "{count}: {per_instance}");
    }
}

/// Guards against a sound part that stays refused for good after engines failed with it.
#[test]
fn a_refused_part_is_tried_again_and_cleared_by_an_answer() {
    let mut serving = instance(1, 9);
    for number in 0..4 {
        let now = START + 300 * number as u64;
        crash_engine(&mut serving, now, &prompt(&[GOOD]), number);
    }
    let now = START + 45_000;

    let mut admitted = |at| {
        let answer = serving.admit_prompt(at, &prompt(&[GOOD]));
        answer.is_ok()
    };
    let before = admitted(START + 1_000);
    let [trial, beside_trial] = [now, now + 10].map(&mut admitted);
    serving.record_sound_parts(now + 500, &[GOOD]);
    let cleared = serving.admit_prompt(now + 600, &prompt(&[GOOD]));

    assert_eq!([before, trial, beside_trial], [false, true, false]);
    cleared.unwrap();
}

/// Guards against memory that grows with the parts that callers make up, and against those that push out others.
#[test]
fn made_up_parts_do_not_displace_those_in_use() {
    let mut parts = PartTracker::default();
    for number in 0..4 {
        parts.record_crash(START + 300 * number, &crash(&[BAD], &format!("e-{number}")));
    }

    for number in 0..100_000 {
        let now = START + 1_000 + number / 100;
        parts.record_sound(now, &[PartId(1_000_000 + number), FIRST]);
        if number % 10 == 0 {
            parts.record_crash(now, &crash(&[PartId(5_000_000 + number), FIRST], "e-5"));
        }
    }

    assert!(parts.is_suspect(BAD));
    assert!(!parts.is_suspect(FIRST));
}
