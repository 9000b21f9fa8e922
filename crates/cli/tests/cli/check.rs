//! `whinlatch check` with valid and faulty files.

use {
    crate::support::{Directory, whinlatch},
    insta::assert_snapshot,
};

const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../conf/whinlatchd.jsonc");
const RECORDS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../conf/records.jsonc");
const FAULTY: &str = r#"{
    "instance": "entry-1",
    "failure_domain": "a",
    "caller_address": "entry-1:7001",
    "peer_address": "10.0.0.1:7002",
    "platform_address": "10.0.0.9:7000",
    "peer_key": "",
    "shutdown_s": 30,
    "limits": { "read_timeout_ms": "5s" },
}"#;

#[test]
fn shipped_files_have_no_faults() {
    let run = whinlatch(&["check", SETTINGS, RECORDS]);

    assert_eq!(run.code, 0, "{}", run.out);
    assert!(run.out.contains("settings, no fault"), "{}", run.out);
    assert!(run.out.contains("7 records, no fault"), "{}", run.out);
}

#[test]
fn every_fault_of_every_file_is_reported() {
    let directory = Directory::new("faults");
    let files = [
        directory.file("settings.jsonc", FAULTY),
        directory.file("records.jsonc", "[\n  { \"key\": \"a\" }\n]"),
        directory.file("broken.jsonc", "{\n  \"instance\": \n"),
        directory.file("good.jsonc", "[]"),
    ];
    let names: Vec<&str> = files.iter().map(String::as_str).collect();

    let run = whinlatch(&[&["check"], &names[..]].concat());

    assert_eq!(run.code, 2);
    assert_snapshot!(directory.strip_path(&run.out));
}

#[test]
fn faults_as_json_have_line_path_and_message() {
    let directory = Directory::new("json");
    let file = directory.file("settings.jsonc", FAULTY);

    let run = whinlatch(&["check", "--json", &file]);

    assert_eq!(run.code, 2);
    assert_snapshot!(directory.strip_path(&run.out));
}

#[test]
fn a_missing_file_is_a_fault() {
    let run = whinlatch(&["check", "/no/such/file.jsonc"]);

    assert_eq!(run.code, 2);
    assert!(run.out.contains("/no/such/file.jsonc"), "{}", run.out);
}
