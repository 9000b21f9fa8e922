//! `whinlatch losses`: requests that weren't served in time, from the log files of several instances.

use super::support::{Directory, whinlatch};

const LINES: &str = r#"
12.1 entry-1 {"at_ms":1000,"event":"sent","request":"a","route":"r-1","slack_ms":290,"attempt":1}
{"at_ms":1500,"event":"ended","request":"a","outcome":"answered","status":200,"reason":"","took_ms":510,"first_event_ms":280}
{"at_ms":1010,"event":"sent","request":"b","route":"r-1","slack_ms":290,"attempt":1}
{"at_ms":1400,"event":"sent","request":"b","route":"r-1","slack_ms":-100,"attempt":2}
{"at_ms":2500,"event":"ended","request":"b","outcome":"answered","status":200,"reason":"","took_ms":1500,"first_event_ms":900}
{"at_ms":2100,"event":"refused","request":"c","route":"r-2","reason":"too busy"}
{"at_ms":2100,"event":"ended","request":"c","outcome":"refused","status":503,"reason":"too busy","took_ms":3,"first_event_ms":null}
{"at_ms":4100,"event":"ended","request":"d","outcome":"caller_gone","status":0,"reason":"","took_ms":1,"first_event_ms":null}
a line of another program
"#;

#[test]
fn losses_are_counted_by_route_second_and_reason() {
    let directory = Directory::new("losses");
    let log = directory.file("entry-1.log", LINES);

    let run = whinlatch(&["losses", "--json", &log]);

    assert_eq!(run.code, 0);
    let report: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(report["routes"]["r-1"]["late"], 1);
    assert_eq!(report["routes"]["r-1"]["requests"], 2);
    assert_eq!(report["routes"]["r-2"]["refused"], 1);
    assert_eq!(report["routes"]["(none)"]["left"], 1);
    assert_eq!(report["seconds"]["2"]["refused"], 1);
    assert_eq!(report["reasons"]["refused: too busy"], 1);
}

#[test]
fn the_table_lists_the_worst_seconds_in_order_of_time() {
    let directory = Directory::new("losses_table");
    let log = directory.file("entry-1.log", LINES);

    let run = whinlatch(&["losses", &log]);

    let seconds: Vec<&str> = run
        .out
        .lines()
        .skip_while(|line| !line.starts_with("SECOND"))
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert_eq!(seconds, ["0", "1", "2", "4"]);
}

#[test]
fn an_unreadable_file_is_named() {
    let run = whinlatch(&["losses", "not-there.log"]);

    assert_ne!(run.code, 0);
    assert!(run.err.contains("not-there.log"));
}

/// Request `f1` is refused, submitted again half a second later, and its answer starts half a second after
/// that: in time for the second submission, but late for the caller, who has waited since the first one.
const RESUBMITTED_LINES: &str = r#"
{"at_ms":1010,"event":"refused","request":"a","route":"r-1","reason":"too busy","fingerprint":"f1"}
{"at_ms":1010,"event":"ended","request":"a","outcome":"refused","status":503,"reason":"too busy","took_ms":10,"first_event_ms":null}
{"at_ms":1505,"event":"sent","request":"b","route":"r-1","slack_ms":895,"attempt":1,"fingerprint":"f1"}
{"at_ms":2500,"event":"ended","request":"b","outcome":"answered","status":200,"reason":"","took_ms":1000,"first_event_ms":500}
{"at_ms":2010,"event":"refused","request":"c","route":"r-1","reason":"too busy","fingerprint":"f2"}
{"at_ms":2010,"event":"ended","request":"c","outcome":"refused","status":503,"reason":"too busy","took_ms":10,"first_event_ms":null}
{"at_ms":2605,"event":"refused","request":"d","route":"r-1","reason":"too busy","fingerprint":"f2"}
{"at_ms":2605,"event":"ended","request":"d","outcome":"refused","status":503,"reason":"too busy","took_ms":5,"first_event_ms":null}
{"at_ms":5000,"event":"sent","request":"e","route":"r-1","slack_ms":900,"attempt":1,"pause_limit_ms":250}
{"at_ms":7000,"event":"ended","request":"e","outcome":"answered","status":200,"reason":"","took_ms":2000,"first_event_ms":100,"longest_pause_ms":251}
"#;

#[test]
fn submissions_of_one_request_count_as_one() {
    let directory = Directory::new("losses_resubmitted");
    let log = directory.file("entry-1.log", RESUBMITTED_LINES);

    let run = whinlatch(&["losses", "--json", &log]);

    let report: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    let route = &report["routes"]["r-1"];
    assert_eq!(route["requests"], 3);
    assert_eq!(route["came_back"], 2);
    assert_eq!(route["late"], 1);
    assert_eq!(route["refused"], 1);
    assert_eq!(route["paused"], 1);
}
