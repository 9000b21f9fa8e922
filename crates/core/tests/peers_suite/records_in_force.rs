//! The records in force depend on the records held, not on the order of arrival.

use {
    crate::values::{account, envelope, policy, target, unknown_schema},
    proptest::{prelude::*, test_runner::RngSeed},
    whinlatch_core::records::{Merge, RecordStore},
    whinlatch_wire::{
        ids::{AccountName, TargetName},
        record::RecordEnvelope,
    },
};

fn store(envelopes: &[RecordEnvelope]) -> RecordStore {
    let mut store = RecordStore::default();
    for envelope in envelopes {
        store.merge(envelope);
    }
    store
}

fn port(store: &RecordStore, name: &str) -> Option<u16> {
    let target = store.in_force().target(&TargetName::new(name))?;
    Some(target.address.port())
}

// Guards against a target that vanishes when operators move it to a new key: they publish the new record
// and delete the old one, and deleting one of two records that declare the target removes both.
#[test]
fn a_record_takes_effect_when_the_other_one_of_its_name_is_deleted() {
    let old = envelope("targets/a", 1, Some(&target("labels-1", 7001)));
    let new = envelope("targets/b", 2, Some(&target("labels-1", 7002)));
    let deletion = envelope("targets/a", 3, None);

    let both = store(&[old.clone(), new.clone()]);
    let one = store(&[old, new, deletion]);

    assert_eq!(port(&both, "labels-1"), Some(7001));
    assert_eq!(port(&one, "labels-1"), Some(7002));
}

// A record changes to declare another target. The former target must no longer be in force.
#[test]
fn a_record_that_changes_its_name_releases_the_former() {
    let before = envelope("targets/a", 1, Some(&target("labels-1", 7001)));
    let after = envelope("targets/a", 2, Some(&target("labels-2", 7001)));

    let held = store(&[before, after]);

    assert_eq!(port(&held, "labels-1"), None);
    assert_eq!(port(&held, "labels-2"), Some(7001));
}

// Guards against a record that is in force on some daemons only: the newest revision is invalid and
// arrives first, and the valid one before it arrives later, from a slower peer. Daemons that get them in
// the other order have the valid one in force, this one has nothing.
#[test]
fn the_newest_valid_revision_is_in_force_even_when_it_comes_after_an_invalid_one() {
    let valid = envelope("targets/a", 1, Some(&target("labels-1", 7001)));
    let broken = envelope("targets/a", 2, Some("{"));
    let mut held = store(&[broken]);

    let merge = held.merge(&valid);

    assert_eq!(merge, Merge::InForce);
    assert_eq!(port(&held, "labels-1"), Some(7001));
}

// A platform restored from a copy issues a revision number twice. Two daemons that hold different
// values under one number must converge on the same one.
#[test]
fn one_revision_with_two_values_converges_on_one() {
    let here = envelope("targets/a", 5, Some(&target("labels-1", 7001)));
    let there = envelope("targets/a", 5, Some(&target("labels-1", 7002)));

    let one = store(&[here.clone(), there.clone()]);
    let other = store(&[there, here]);

    assert_eq!(port(&one, "labels-1"), port(&other, "labels-1"));
    assert_eq!(one.summary(), other.summary());
}

fn any_value() -> impl Strategy<Value = Option<String>> {
    prop_oneof![
        (0..3_u16, 0..3_u16).prop_map(|(n, p)| Some(target(&format!("target-{n}"), 7000 + p))),
        (0..3_u32, 1..4_u32).prop_map(|(n, r)| Some(account(&format!("account-{n}"), r))),
        (1..4_u32).prop_map(|rate| Some(policy(f64::from(rate)))),
        Just(Some("not json".to_owned())),
        Just(Some(unknown_schema("x"))),
        Just(None),
    ]
}

fn any_records() -> impl Strategy<Value = Vec<RecordEnvelope>> {
    let one = (0..5_usize, 1..30_u64, any_value()).prop_map(|(key, revision, value)| {
        envelope(&format!("k{key}"), revision, value.as_deref())
    });
    prop::collection::vec(one, 1..24)
}

/// Returns everything observable of a store, as text.
fn observable_state(store: &RecordStore) -> String {
    let in_force = store.in_force();
    let targets: Vec<_> = in_force.targets().collect();
    let accounts: Vec<_> = (0..3)
        .map(|n| in_force.account(&AccountName::new(&format!("account-{n}"))))
        .collect();
    let policy = in_force.policy();
    let statuses = store.statuses(|_bucket| Vec::new());
    let summary = store.summary();
    format!("{targets:?} {accounts:?} {policy:?} {statuses:?} {summary:?}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    // Two daemons get the same records, invalid ones among them, in different orders and some
    // twice. Both must have the same in force.
    #[test]
    fn the_order_of_arrival_changes_nothing(
        (records, shuffled) in any_records()
            .prop_flat_map(|records| (Just(records.clone()), Just(records).prop_shuffle())),
        again in 0..24_usize,
    ) {
        let mut repeated = shuffled.clone();
        repeated.extend(shuffled.get(again).cloned());

        let one = store(&records);
        let other = store(&repeated);

        prop_assert_eq!(observable_state(&one), observable_state(&other));
    }
}
