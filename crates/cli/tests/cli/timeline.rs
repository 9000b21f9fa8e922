//! `whinlatch explain --log`: the timeline of a request from the log files of several instances.

use {
    crate::support::{Directory, whinlatch},
    insta::assert_snapshot,
};

const REQUEST: &str = "9c41d07be2a35f68";

/// Writes the log files of two instances: mixed with lines of other programs, the later events first.
fn log_files(directory: &Directory) -> [String; 2] {
    let collected = format!(
        r#"
 27.1 entry-1 {{"at_ms":1000400,"event":"ended","request":"{REQUEST}","outcome":"cut","status":200,"reason":"no engine resumes the stream: too many requests are being repeated: come back","took_ms":400,"first_event_ms":112,"longest_pause_ms":180,"sends":1}}
 27.0 entry-1 {{"at_ms":1000000,"event":"sent","request":"{REQUEST}","route":"r-7","version":4,"target":"i-7","helpers":0,"expected_ms":40,"slack_ms":300,"attempt":1}}
 27.1 entry-1 {{"at_ms":1000399,"event":"attempt_failed","request":"{REQUEST}","target":"i-7","fault":"the target closed the connection","may_have_run":true}}
 a line of another program
 27.1 entry-1 {{"at_ms":1000390,"event":"attempt_failed","request":"another","target":"i-7","fault":"the target closed the connection","may_have_run":true}}
 27.1 entry-1 {{"at_ms":1000391,"event":"attempt_failed","request":"a third","target":"i-8","fault":"the target is silent","may_have_run":true}}
"#
    );
    let other = r#"
{"at_ms":999000,"event":"target","target":"i-7","state":"draining","revision":90}
{"at_ms":800000,"event":"target","target":"i-7","state":"ready","revision":12}
{"at_ms":1000100,"event":"target","target":"i-9","state":"gone","revision":91}
"#;
    [
        directory.file("entry-1.log", &collected),
        directory.file("entry-2.log", other),
    ]
}

#[test]
fn a_timeline_orders_the_events_of_a_request_and_the_changes_of_its_targets() {
    let directory = Directory::new("timeline");
    let [first, second] = log_files(&directory);

    let run = whinlatch(&["explain", "--log", &first, "--log", &second, REQUEST]);

    assert_eq!(run.code, 0);
    assert_snapshot!(run.out);
}

#[test]
fn a_timeline_as_json_keeps_each_field() {
    let directory = Directory::new("timeline_json");
    let [first, second] = log_files(&directory);

    let run = whinlatch(&[
        "explain", "--json", "--log", &first, "--log", &second, REQUEST,
    ]);

    let timeline: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(timeline["request"], REQUEST);
    assert_eq!(timeline["other_failures"], 1);
    assert_eq!(timeline["steps"][3]["longest_pause_ms"], 180);
}

#[test]
fn an_unknown_request_and_a_missing_file_are_errors() {
    let directory = Directory::new("timeline_none");
    let [first, _second] = log_files(&directory);

    assert_eq!(whinlatch(&["explain", "--log", &first, "nobody"]).code, 1);
    assert_eq!(
        whinlatch(&["explain", "--log", "not-there", REQUEST]).code,
        2
    );
}
