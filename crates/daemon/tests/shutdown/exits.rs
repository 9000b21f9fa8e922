//! What the exit of a process cuts off.

use {
    super::{
        caller::{Load, passed_on},
        fixture::{Process, store},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, EchoStream, STREAM_PREFIX, TargetStandin,
    },
};

/// Time from the signal until the platform would kill the process, in s: much longer than each stream.
const LONG_GRACE_S: u64 = 10;
/// The same for a process whose last stream doesn't end, in s.
const SHORT_GRACE_S: u64 = 2;
/// Requests that are served before the process is signalled.
const SERVED_BEFORE: usize = 12;

fn stream() -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000)
}

fn call() -> CallerRequest {
    CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
}

/// Stops a process under a load of requests of one kind. Returns the ids of those that were passed on to the target and
/// cut.
fn cut_by_exit(
    target: &TargetStandin,
    process: &mut Process,
    request: fn() -> CallerRequest,
) -> Vec<String> {
    let load = Load::default();
    let address = process.settings.callers();
    let cut = load.run(address, request, || {
        load.wait_until_served(SERVED_BEFORE);
        process.stop();
        process.wait();
    });
    passed_on(target, cut)
}

/// Guards against streams that a leaving process takes until it exits, and cuts then.
#[test]
fn a_stream_that_comes_late_to_a_leaving_process_is_not_cut() {
    let two_seconds = EchoStream {
        begins_after_ms: 0,
        last: 20,
        pause_ms: 100,
        breaks_after: None,
    };
    let engine = TargetStandin::start("e-1", Behaviour::EchoStream(two_seconds));
    let store = store(&[&engine], &[]);
    let mut process = Process::start(&store, LONG_GRACE_S);

    let cut = cut_by_exit(&engine, &mut process, stream);

    assert_eq!(cut, Vec::<String>::new());
}

/// Guards against calls that are read between the decision to exit and the exit, and run without an answer.
#[test]
fn a_call_on_an_open_connection_is_not_cut_by_the_exit() {
    let plain = TargetStandin::start("p-1", Behaviour::Echo);
    let store = store(&[], &[&plain]);
    let mut process = Process::start(&store, LONG_GRACE_S);

    let cut = cut_by_exit(&plain, &mut process, call);

    assert_eq!(cut, Vec::<String>::new());
}

/// Guards against a caller whose connection closes without a word at the exit, though nothing of its answer was sent.
#[test]
fn a_request_without_an_answer_gets_one_at_the_exit() {
    let plain = TargetStandin::start("p-1", Behaviour::Hang);
    let store = store(&[], &[&plain]);
    let mut process = Process::start(&store, SHORT_GRACE_S);
    let mut caller = Caller::connect(process.settings.callers());
    caller.write(&call().text());
    plain.wait_for_arrivals(1);

    process.stop();
    let answer = caller.read();
    process.wait();

    assert_eq!(answer.map(|answer| answer.status), Some(502));
}

/// Guards against the end of a process of which the log doesn't tell what it cut off.
#[test]
fn the_log_names_what_the_exit_cuts_off() {
    let engine = TargetStandin::start("e-1", Behaviour::StreamThenHang(2));
    let store = store(&[&engine], &[]);
    let mut process = Process::start(&store, SHORT_GRACE_S);
    let request = stream();
    let mut caller = Caller::connect(process.settings.callers());
    caller.write(&request.text());
    caller.read_first_chunk();

    process.stop();
    let log = process.wait();

    let ended = log
        .lines()
        .find(|line| line.contains("\"event\":\"ended\"") && line.contains(&request.id))
        .expect("the request has a line");
    assert!(ended.contains("\"outcome\":\"process_ended\""), "{ended}");
    assert!(log.contains("\"event\":\"stopped\",\"open_requests\":1"));
}
