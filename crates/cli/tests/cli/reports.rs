//! `whinlatch entries`, `status`, `records` and `explain`.

use {
    crate::support::{FakeEntry, Received, Run, dead_address, json_answer, whinlatch},
    insta::assert_snapshot,
};

const REQUEST: &str = "0000000000000000000000000000000b";
const RUN: &str = "000000000000000000000000000000aa";

fn reporting() -> FakeEntry {
    FakeEntry::start(
        &["10.0.0.1:7001".parse().expect("an address")],
        |_, request| report(request),
    )
}

fn report(request: &Received) -> Vec<u8> {
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

fn at(entry: &FakeEntry, args: &[&str]) -> Run {
    let address = entry.address.to_string();
    whinlatch(&[args, &["--entry", &address]].concat())
}

#[test]
fn reports_are_tables_for_people() {
    let entry = reporting();

    let out: Vec<String> = [
        &["entries"][..],
        &["status"],
        &["records"],
        &["explain", REQUEST],
    ]
    .iter()
    .map(|args| at(&entry, args).out)
    .collect();

    assert_snapshot!(out.join("\n"));
}

#[test]
fn reports_as_json_keep_what_this_build_does_not_know() {
    let entry = reporting();

    let run = at(&entry, &["status", "--json"]);

    let json: serde_json::Value = serde_json::from_str(&run.out).expect("the report is JSON");
    assert_eq!((run.code, &json["new_field"]), (0, &true.into()));
}

/// An operator asks the wrong entry why a request went where it did. Only the daemon that admitted
/// it knows, so the others that the lookup names are asked too.
#[test]
fn explain_asks_the_other_entries_too() {
    let knowing = reporting();
    let other = FakeEntry::start(&[knowing.address], |_, _| json_answer(404, "{}"));

    assert_eq!(at(&other, &["explain", REQUEST]).code, 0);
    assert_eq!(at(&knowing, &["explain", RUN]).code, 1);
    assert_eq!(at(&knowing, &["explain", "no-id"]).code, 2);
}

#[test]
fn an_entry_that_does_not_answer_is_passed_over() {
    let entry = reporting();
    let dead = dead_address().to_string();

    assert_eq!(at(&entry, &["records", "--entry", &dead]).code, 0);
    assert_eq!(whinlatch(&["records", "--entry", &dead]).code, 5);
    assert_eq!(whinlatch(&["records"]).code, 2);
}
