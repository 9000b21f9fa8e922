//! Properties that hold for every order of changes and news.

use {
    super::fixture::{
        GROUP, START, address_of, change, instance, job, placed, removal, run_change, spec,
    },
    proptest::prelude::*,
    whinlatch_serving::{
        catalog::{Configuration, Limits},
        engines::EngineLoads,
        fleet::{Frame, PublishedText},
        names::TargetId,
        targets::{TargetChange, TargetRegistry, TargetState},
    },
};

/// Generates changes of three targets. The revision determines the change.
fn target_change() -> impl Strategy<Value = TargetChange> {
    (0..3_u64, 1..30_u64).prop_map(|(target, step)| {
        let name = format!("e-{target}");
        let revision = step * 3 + target;
        match step % 5 {
            0 => removal(&name, revision),
            1 => change(&name, revision, TargetState::Ready),
            2 => run_change(&name, revision, step * 7 % 11),
            3 => at_one_address(run_change(&name, revision, step * 7 % 11)),
            _ => change(&name, revision, TargetState::Draining),
        }
    })
}

/// Moves a target to one common address, as when targets restart under new names after crashes.
fn at_one_address(mut change: TargetChange) -> TargetChange {
    if let Some(entry) = &mut change.entry {
        entry.address = address_of("e-0");
    }
    change
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Placed(u64, u8, u64),
    FirstEvent(u64),
    Ended(u64),
    StreamEvent(u8),
    RunRemoved,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12_u64, 0..3_u8, 1_000..400_000_u64).prop_map(|(n, e, t)| Step::Placed(n, e, t)),
        (0..12_u64).prop_map(Step::FirstEvent),
        (0..12_u64).prop_map(Step::Ended),
        (0..3_u8).prop_map(Step::StreamEvent),
        Just(Step::RunRemoved),
    ]
}

fn engine(number: u8) -> TargetId {
    format!("e-{number}").into()
}

proptest! {
    /// Instances that received the same changes in different orders, one of them twice, from the store or
    /// from peers, know the same targets.
    #[test]
    fn the_order_of_changes_makes_no_difference(
        changes in prop::collection::vec(target_change(), 1..20),
        seed in any::<u64>(),
    ) {
        let mut shuffled = changes.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        shuffled.push(changes[0].clone());

        let mut from_store = TargetRegistry::default();
        for change in changes {
            from_store.apply_store_change(START, &change);
        }
        let mut from_peers = TargetRegistry::default();
        for change in &shuffled {
            from_peers.apply_peer_change(START, change);
        }

        prop_assert_eq!(from_store.ready_ids(), from_peers.ready_ids());
    }

    /// The active configuration never goes back to an older version, whether versions come from the store or
    /// from peers.
    #[test]
    fn versions_only_go_up(versions in prop::collection::vec((1..50_u64, any::<bool>()), 1..20)) {
        let mut serving = instance(1, 1);
        let mut highest = serving.version();
        let parse = |version| Configuration::new(version, Limits::default(), vec![], vec![], vec![]);

        for (version, is_from_store) in versions {
            let text = version.to_string();
            if is_from_store {
                serving.activate_configuration(parse(version), text);
            } else {
                let published = PublishedText { version, text };
                let frame = Frame { configuration: Some(published), ..Frame::default() };
                serving.on_frame(START, 2, frame, |text| Some(parse(text.parse().ok()?)));
            }
            highest = highest.max(version);
            prop_assert_eq!(serving.version(), highest);
        }
    }

    /// An engine is idle once all of its prompts have ended, for any reports on them in any order.
    #[test]
    fn nothing_stays_at_an_engine_when_all_prompts_are_over(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut loads = EngineLoads::default();

        for (index, step) in steps.into_iter().enumerate() {
            let now = START + 37 * index as u64;
            match step {
                Step::Placed(number, first, tokens) => {
                    let mut prompt = placed(number, &engine(first), tokens);
                    prompt.engines.push(engine((first + 1) % 3));
                    loads.add_job(now, &spec(), GROUP, prompt);
                }
                Step::FirstEvent(number) => loads.record_first_event(now, &spec(), job(number)),
                Step::Ended(number) => loads.remove_job(job(number)),
                Step::StreamEvent(number) => {
                    loads.record_event(now, &spec(), &engine(number));
                }
                Step::RunRemoved => loads.remove_run(1, &[job(3)]),
            }
            for number in 0..3 {
                let load = loads.engine(now, &spec(), &engine(number));
                prop_assert!(load.parts.iter().all(|part| part.left_ms >= 0.0));
            }
        }
        for number in 0..12 {
            loads.remove_job(job(number));
        }

        for number in 0..3 {
            let load = loads.engine(START + 100_000, &spec(), &engine(number));
            prop_assert_eq!((load.running(), load.helping, load.memory_tokens), (0, 0, 0));
        }
    }
}
