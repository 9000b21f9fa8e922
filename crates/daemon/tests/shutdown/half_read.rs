//! Requests that a process has read in part when it exits.

use {
    super::fixture::{Process, store},
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, CallerResponse, TargetStandin,
    },
};

/// Time from the signal until the platform would kill the process, in s.
const GRACE_S: u64 = 2;

/// Has a caller send a part of a request to a process that stops then. Returns the answer.
fn answer_to(process: &mut Process, part: &str) -> Option<CallerResponse> {
    let mut caller = Caller::connect(process.settings.callers());
    caller.write(part);
    process.stop();
    let answer = caller.read();
    process.wait();
    answer
}

/// Guards against a connection that closes without an answer at the exit, under a caller that is still sending its
/// request and can't tell whether that has run.
#[test]
fn a_request_that_was_read_in_part_is_refused_at_the_exit() {
    let plain = TargetStandin::start("p-1", Behaviour::Echo);
    let store = store(&[], &[&plain]);
    let call = CallerRequest {
        body: "a label".to_owned(),
        ..CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
    };
    let text = call.text();
    let half_head = text.split_at(text.len() / 2).0;
    let half_body = &text[..text.len() - 1];

    for part in [half_head, half_body] {
        let mut process = Process::start(&store, GRACE_S);
        let answer = answer_to(&mut process, part).expect("the caller gets an answer");

        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("Retry-After"), Some("0.00"));
    }
    assert!(plain.arrivals().is_empty());
}

/// As above, for a caller that was told to go on with the body.
#[test]
fn a_caller_that_was_told_to_continue_is_refused_at_the_exit() {
    let plain = TargetStandin::start("p-1", Behaviour::Echo);
    let store = store(&[], &[&plain]);
    let call = CallerRequest {
        extra_headers: vec![("Expect", "100-continue".to_owned())],
        body: "a label".to_owned(),
        ..CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
    };
    let text = call.text();
    let head = &text[..text.len() - call.body.len()];
    let mut process = Process::start(&store, GRACE_S);
    let mut caller = Caller::connect(process.settings.callers());
    caller.write(head);
    let interim = caller.read().map(|answer| answer.status);

    process.stop();
    let answer = caller.read().map(|answer| answer.status);
    process.wait();

    assert_eq!((interim, answer), (Some(100), Some(503)));
    assert!(plain.arrivals().is_empty());
}
