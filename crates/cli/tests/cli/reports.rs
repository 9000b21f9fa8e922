//! `whinlatch entries`, `status`, `records` and `explain`.

use {
    crate::support::{FakeEntry, Received, Run, closed_address, json_answer, whinlatch},
    insta::assert_snapshot,
};

const REQUEST: &str = "0000000000000000000000000000000b";
const RUN: &str = "000000000000000000000000000000aa";

fn reporting_entry() -> FakeEntry {
    FakeEntry::start(
        &["10.0.0.1:7001".parse().expect("an address")],
        |_, request| scripted_report(request),
    )
}

fn scripted_report(request: &Received) -> Vec<u8> {
    let status = format!(
        r#"{{"instance":"entry-1","incarnation":"{RUN}","failure_domain":"a","uptime_ms":61000,
        "leaving":false,"requests_in_flight":3,"newest_revision":12,"new_field":true,
        "platform":{{"reachable":false,"reads":40,"last_answer_ms":2500}},
        "peers":[{{"instance":"entry-2","incarnation":"{RUN}","failure_domain":"b",
        "state":"suspect","linked":false}}],
        "targets":[{{"target":"engine-1","incarnation":null,"health":"leaving","in_flight":2,
        "backlog_ms":700,"prefill_tokens_per_s":20000.4}}]}}"#
    );
    let records = r#"{"instance":"entry-1","newest":12,"records":[
        {"key":"policy","revision":9,"in_force":9,"state":{"state":"in_force"},
        "instances":["entry-1","entry-2"]},
        {"key":"routes/a","revision":12,"in_force":7,"instances":["entry-1"],
        "state":{"state":"rejected","reason":"field `spec.providers`: the shares add up to 999"}},
        {"key":"routes/b","revision":11,"in_force":null,"state":{"state":"deleted"},"instances":[]}]}"#;
    let decisions = format!(
        r#"{{"request":"{REQUEST}","steps":[
        {{"after_ms":0,"part":"admission","text":"admitted for members"}},
        {{"after_ms":12,"part":"routing","text":"sent to engine-1"}}],
        "outcome":{{"request":"{REQUEST}","outcome":"completed","reason":"done","message":"whole"}}}}"#
    );
    match request.path() {
        "/v1/status" => json_answer(200, &status),
        "/v1/records" => json_answer(200, records),
        path if path.ends_with(REQUEST) => json_answer(200, &decisions),
        _ => json_answer(404, "{}"),
    }
}

fn run_at(entry: &FakeEntry, args: &[&str]) -> Run {
    let address = entry.address.to_string();
    whinlatch(&[args, &["--entry", &address]].concat())
}

#[test]
fn reports_are_printed_as_tables() {
    let entry = reporting_entry();

    let out: Vec<String> = [
        &["entries"][..],
        &["status"],
        &["records"],
        &["explain", REQUEST],
    ]
    .iter()
    .map(|args| run_at(&entry, args).out)
    .collect();

    assert_snapshot!(out.join("\n"));
}

#[test]
fn reports_as_json_keep_unknown_fields() {
    let entry = reporting_entry();

    let run = run_at(&entry, &["status", "--json"]);

    let json: serde_json::Value = serde_json::from_str(&run.out).expect("the report is JSON");
    assert_eq!((run.code, &json["new_field"]), (0, &true.into()));
}

/// Only the daemon that admitted a request knows its decisions. If the operator names another entry, the
/// entries from its lookup are queried too.
#[test]
fn explain_queries_the_other_entries_too() {
    let admitting = reporting_entry();
    let other = FakeEntry::start(&[admitting.address], |_, _| json_answer(404, "{}"));

    assert_eq!(run_at(&other, &["explain", REQUEST]).code, 0);
    assert_eq!(run_at(&admitting, &["explain", RUN]).code, 1);
    assert_eq!(run_at(&admitting, &["explain", "no-id"]).code, 2);
}

#[test]
fn an_entry_that_does_not_answer_is_skipped() {
    let entry = reporting_entry();
    let dead = closed_address().to_string();

    assert_eq!(run_at(&entry, &["records", "--entry", &dead]).code, 0);
    assert_eq!(whinlatch(&["records", "--entry", &dead]).code, 5);
    assert_eq!(whinlatch(&["records"]).code, 2);
}
