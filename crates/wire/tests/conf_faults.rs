//! Faults of settings and record files: all are reported together, each with its line, its path
//! and the remedy.

use {
    insta::assert_snapshot,
    whinlatch_wire::conf::{ConfFault, check_records, check_settings},
};

fn render(faults: &[ConfFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ConfFault::to_string).collect();
    lines.join("\n") + "\n"
}

fn settings_faults(text: &str) -> String {
    render(&check_settings(text).expect_err("the settings are faulty"))
}

fn records_faults(text: &str) -> String {
    render(&check_records(text).expect_err("the records are faulty"))
}

#[test]
fn settings_report_all_faults_together() {
    let text = r#"// all at once
{
    "instance": "",
    "failure_domian": "a",
    "caller_address": "localhost:7001",
    "peer_address": "0.0.0.0:7002",
    "seed_peers": ["10.0.0.2:7002", 7, "10.0.0.2:7002", "10.0.0.2:0"],
    "peer_key": "  ",
    "shutdown_s": 30,
    "limits": {
        "max_body_bytes": "16 MiB",
        "max_header_bytes": -1,
        "max_connections": 1.5,
        "read_timeout_ms": "5s",
        "write_timeout_ms": "soon",
        "target_silence_ms": 0,
        "colour": true,
    },
    "log": { "format": "yaml", "level": 3 },
    "log": {},
}
"#;

    assert_snapshot!(settings_faults(text));
}

#[test]
fn duplicate_addresses_are_reported_with_the_first_line() {
    let text = r#"{
    "instance": "entry-1",
    "failure_domain": "a",
    "caller_address": "10.0.0.1:7001",
    "peer_address": "10.0.0.1:7001",
    "platform_address": "10.0.0.1:7001",
    "seed_peers": ["10.0.0.3:7002", "10.0.0.3:7002"],
    "peer_key": "k",
}"#;

    assert_snapshot!(settings_faults(text));
}

#[test]
fn own_peer_address_is_allowed_among_the_seeds() {
    let text = r#"{
    "instance": "entry-1",
    "failure_domain": "a",
    "caller_address": "10.0.0.1:7001",
    "peer_address": "10.0.0.1:7002",
    "platform_address": "10.0.0.9:7000",
    "seed_peers": ["10.0.0.1:7002", "10.0.0.2:7002"],
    "peer_key": "k",
}"#;

    let settings = check_settings(text).expect("one list of seeds serves all instances");

    assert_eq!(settings.seed_peers.len(), 2);
}

#[test]
fn invalid_json_is_reported_with_its_line() {
    let nested = "[".repeat(100_000);
    let texts = [
        "",
        "// nothing",
        "{\n  \"instance\": \"a\"\n  \"failure_domain\": \"b\"\n}",
        "{\n  instance: \"a\"\n}",
        "{ \"instance\": 'a' }",
        "{ \"instance\": \"a\"",
        "{} {}",
        "[1e999]",
        "\"text\"",
        &nested,
    ];

    let all: String = texts.into_iter().map(settings_faults).collect();

    assert_snapshot!(all);
}

/// Guards against leaking a key through a fault message: one that is written in the wrong place
/// would otherwise appear in logs and on CI pages.
#[test]
fn secrets_are_not_repeated_in_messages() {
    let settings = r#"{ "peer_key": { "text": "hunter2" } }"#;
    let records = r#"[{ "key": "a", "value": { "schema": 2, "kind": "account", "spec": {
        "account": "a", "key_sha256": ["hunter2"], "requests_per_s": 1, "tokens_per_s": 1 } } }]"#;

    let all = settings_faults(settings) + &records_faults(records);

    assert!(!all.contains("hunter2"), "{all}");
}

#[test]
fn records_report_all_faults_together() {
    let text = r#"[
    { "key": "routes/a", "value": { "schema": 2, "kind": "route", "spec": {
        "subject": { "type": "model", "modle": "assistant" },
        "providers": [
            { "provider": "old", "share_per_mille": 500 },
            { "provider": "new", "share_percent": 50 },
        ],
        "new_share_percent": 10,
    } } },
    { "key": "routes/a", "value": { "schema": 1, "kind": "route", "spec": {
        "subject": { "type": "service", "service": "labels", "idempotent": "no" },
        "new_share_percent": 101,
    } } },
    { "key": "routes/c", "value": { "schema": 2, "kind": "route", "spec": {
        "subject": { "type": "cat" },
        "providers": [{ "provider": "old", "share_per_mille": 999 }],
    } } },
    { "key": "routes/d", "value": { "schema": 3, "kind": "route", "spec": {} } },
    { "value": { "schema": 2, "kind": "rout", "note": "x", "spec": {} } },
    { "key": "accounts/a", "value": { "schema": 2, "kind": "account", "spec": {
        "account": "a", "key_sha256": ["abc"], "requests_per_s": 0, "tokens_per_s": "10", "weight": -1,
    } } },
    { "key": "targets/a", "value": { "schema": 2, "kind": "target", "spec": {
        "target": "a", "address": "engine:80", "failure_domain": "a", "provider": "old", "slots": 0,
        "role": { "type": "engine", "models": [{ "model": "m" }], "memory_tokens": 1e3,
            "prefill_tokens_per_s": 1, "enforces_fencing": 1 },
    } } },
    { "key": "policy", "value": { "schema": 2, "kind": "policy", "spec": {
        "long_first_token_weight": 1.5, "entries_ttl_s": 3, "max_deadline_ms": "10 min",
    } } },
    7,
]"#;

    assert_snapshot!(records_faults(text));
}

#[test]
fn duplicate_keys_and_addresses_are_reported() {
    let target = |key: &str, target: &str| {
        format!(
            r#"{{ "key": "{key}", "value": {{ "schema": 2, "kind": "target", "spec": {{
            "target": "{target}", "address": "10.0.1.1:80", "failure_domain": "a",
            "provider": "old", "slots": 1, "role": {{ "type": "service", "service": "s" }} }} }} }}"#
        )
    };
    let text = format!(
        "[{},\n{},\n{}]",
        target("t", "a"),
        target("t", "a"),
        target("u", "b")
    );

    assert_snapshot!(records_faults(&text));
}
