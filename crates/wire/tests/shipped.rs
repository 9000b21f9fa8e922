//! The configuration files that are shipped have no faults and contain the default values.

use whinlatch_wire::{
    conf::{
        ConfFile, LimitSettings, LogSettings, Settings, check_file, check_records, check_settings,
    },
    record::{PolicyRecord, RecordBody, parse_record},
};

const SETTINGS: &str = include_str!("../../../conf/whinlatchd.jsonc");
const RECORDS: &str = include_str!("../../../conf/records.jsonc");

#[test]
fn shipped_settings_parse_and_equal_the_defaults() {
    let settings = check_settings(SETTINGS).expect("the shipped settings have no fault");

    assert_eq!(settings.limits, LimitSettings::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.shutdown_ms, Settings::DEFAULT_SHUTDOWN_MS);
    assert!(matches!(check_file(SETTINGS), Ok(ConfFile::Settings(_))));
}

#[test]
fn shipped_records_parse_the_same_in_a_daemon() {
    let entries = check_records(RECORDS).expect("the shipped records have no fault");

    for entry in &entries {
        let published = parse_record(&entry.value).expect("the value is valid when published");
        assert_eq!(published, entry.body, "{}", entry.key);
    }
    assert!(
        entries
            .iter()
            .any(|it| it.body == RecordBody::Policy(PolicyRecord::default()))
    );
    assert!(matches!(check_file(RECORDS), Ok(ConfFile::Records(_))));
}

#[test]
fn shipped_records_contain_each_kind_and_both_schemas() {
    let entries = check_records(RECORDS).expect("the shipped records have no fault");

    for expected in [
        "\"kind\":\"route\"",
        "\"kind\":\"account\"",
        "\"kind\":\"target\"",
    ] {
        assert!(
            entries.iter().any(|it| it.value.contains(expected)),
            "{expected}"
        );
    }
    for expected in ["\"schema\":1", "\"schema\":2"] {
        assert!(
            entries.iter().any(|it| it.value.contains(expected)),
            "{expected}"
        );
    }
}
