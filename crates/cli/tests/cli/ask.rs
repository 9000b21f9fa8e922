//! `whinlatch ask` against fake entries with scripted answers.

use {
    crate::support::{
        Directory, FakeEntry, MAX_BODY, Run, closed_address, event_stream, full_answer,
        json_answer, outcome_event, outcome_json, text_event, whinlatch,
    },
    std::net::SocketAddr,
};

const TICKET: &str = "0000000000000000000000000000000a-0000000000000001";

fn ask_entries(entries: &[SocketAddr], args: &[&str]) -> Run {
    let entries: Vec<String> = entries.iter().map(SocketAddr::to_string).collect();
    let mut all = vec!["ask", "--account", "members", "--key", "secret"];
    for entry in &entries {
        all.extend(["--entry", entry]);
    }
    all.extend(args);
    whinlatch(&all)
}

fn send_prompt(entries: &[SocketAddr]) -> Run {
    ask_entries(entries, &["--model", "m", "--prompt", "hello"])
}

fn send_call(entries: &[SocketAddr]) -> Run {
    ask_entries(entries, &["--service", "labels", "--body", "parcel 7"])
}

fn complete_answer() -> Vec<u8> {
    event_stream(&[
        ": comment\n\n".to_owned(),
        text_event(1, "good "),
        text_event(1, "day"),
        outcome_event(1, "completed", "done"),
        "data: [DONE]\n\n".to_owned(),
    ])
}

fn ticket_needed() -> Vec<u8> {
    let ticket_field = format!(",\"ticket\":\"{TICKET}\"");
    json_answer(
        428,
        &outcome_json(1, "not_run", "ticket_needed", &ticket_field),
    )
}

fn refusal(status: u16, reason: &str) -> Vec<u8> {
    json_answer(status, &outcome_json(1, "not_run", reason, ""))
}

fn label_answer() -> Vec<u8> {
    let headers = "whinlatch-outcome: completed\r\nwhinlatch-reason: done\r\n";
    full_answer(201, headers, "label 7")
}

#[test]
fn a_prompt_is_streamed_to_standard_output() {
    let entry = FakeEntry::start(&[], |_, _| complete_answer());

    let run = send_prompt(&[entry.address]);

    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "good day\n"),
        "{}",
        run.err
    );
    assert!(run.err.starts_with("completed: done"), "{}", run.err);
    let request = &entry.received()[0];
    assert_eq!(request.path(), "/v1/completions");
    assert_eq!(request.header("whinlatch-account"), Some("members"));
    assert_eq!(request.header("authorization"), Some("Bearer secret"));
    assert!(
        request
            .header("whinlatch-deadline-ms")
            .is_some_and(|ms| ms.parse::<u64>().is_ok())
    );
}

#[test]
fn a_call_is_resent_with_its_ticket_and_the_same_key() {
    let entry = FakeEntry::start(&[], |number, _| match number {
        0 => ticket_needed(),
        _ => label_answer(),
    });

    let run = send_call(&[entry.address]);

    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "label 7\n"),
        "{}",
        run.err
    );
    let sent = entry.received();
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0].header("whinlatch-ticket"), None);
    assert_eq!(sent[1].header("whinlatch-ticket"), Some(TICKET));
    assert_eq!(
        sent[0].header("idempotency-key"),
        sent[1].header("idempotency-key")
    );
    assert_eq!(sent[1].body, "parcel 7");
}

/// The entry that issued the ticket starts to leave before the call arrives with it, so the call fails over
/// to another entry. Sent without its ticket, it would get a new one there, and could run twice.
#[test]
fn a_call_keeps_its_ticket_at_the_next_entry() {
    let next = FakeEntry::start(&[], |_, _| label_answer());
    let leaving = FakeEntry::start(&[], |number, _| match number {
        0 => ticket_needed(),
        _ => refusal(503, "leaving"),
    });
    let listing = FakeEntry::start(&[leaving.address, next.address], |_, _| Vec::new());

    let run = send_call(&[listing.address]);

    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "label 7\n"),
        "{}",
        run.err
    );
    let (before, after) = (leaving.received(), next.received());
    assert_eq!(after[0].header("whinlatch-ticket"), Some(TICKET));
    assert_eq!(
        after[0].header("idempotency-key"),
        before[0].header("idempotency-key")
    );
}

/// The entry that issued the ticket dies after it has received the call, which may have run. Another entry,
/// which doesn't know the call, answers `not_run`. If the tool reported that, the caller would send the
/// call as a new one, and it would run twice.
#[test]
fn not_run_from_another_entry_does_not_cover_a_broken_attempt() {
    let other = FakeEntry::start(&[], |_, _| refusal(503, "fleet_full"));
    let dying = FakeEntry::start(&[], |number, _| match number {
        0 => ticket_needed(),
        _ => Vec::new(),
    });
    let listing = FakeEntry::start(&[dying.address, other.address], |_, _| Vec::new());

    let run = send_call(&[listing.address]);

    assert_eq!((run.code, run.out.as_str()), (4, ""), "{}", run.err);
    assert!(
        run.err.starts_with("unknown: connection_lost"),
        "{}",
        run.err
    );
    assert_eq!(other.received()[0].header("whinlatch-ticket"), Some(TICKET));
    assert!(
        run.err.contains(TICKET),
        "resending the call needs the ticket: {}",
        run.err
    );
}

#[test]
fn a_ticket_given_by_option_is_sent_with_the_first_attempt() {
    let entry = FakeEntry::start(&[], |_, _| label_answer());

    let args = ["--service", "labels", "--body", "x", "--ticket", TICKET];
    let run = ask_entries(&[entry.address], &args);

    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(entry.received()[0].header("whinlatch-ticket"), Some(TICKET));
    let many = [&args[..], &["--count", "2"]].concat();
    assert_eq!(ask_entries(&[entry.address], &many).code, 2);
}

/// A daemon that dies in the middle of a stream leaves a truncated answer, which must not be reported as
/// completed.
#[test]
fn a_truncated_answer_is_not_reported_as_completed() {
    let entry = FakeEntry::start(&[], |_, _| event_stream(&[text_event(1, "half")]));

    let run = send_prompt(&[entry.address]);

    assert_eq!((run.code, run.out.as_str()), (4, "half\n"), "{}", run.err);
}

/// A fault on the way mixes two answers up: the second event belongs to another caller's request.
#[test]
fn events_of_another_request_are_not_printed() {
    let entry = FakeEntry::start(&[], |_, _| {
        let crossed = text_event(2, "theirs");
        event_stream(&[
            text_event(1, "mine"),
            crossed,
            outcome_event(1, "completed", "done"),
        ])
    });

    let run = send_prompt(&[entry.address]);

    assert_eq!((run.code, run.out.as_str()), (4, "mine\n"), "{}", run.err);
}

#[test]
fn a_broken_stream_is_retried_at_another_entry_while_nothing_is_printed() {
    let good = FakeEntry::start(&[], |_, _| complete_answer());
    let dying = FakeEntry::start(&[], |_, _| event_stream(&[text_event(1, "half")]));
    let listing = FakeEntry::start(&[dying.address, good.address], |_, _| Vec::new());

    let run = ask_entries(
        &[listing.address],
        &["--json", "--model", "m", "--prompt", "hello"],
    );

    let answer = &run.answers()[0];
    assert_eq!(
        (run.code, answer["text"].as_str()),
        (0, Some("good day")),
        "{}",
        run.err
    );
    assert_eq!(answer["attempts"], 2);
    assert_eq!(answer["entry"], good.address.to_string());
}

/// An entry refuses a prompt that is too long after its head and doesn't read the body. A client that reads
/// the answer only after it has sent the whole body blocks until the deadline, and the user never sees the
/// reason.
#[test]
fn an_early_refusal_of_a_long_body_is_read() {
    let entry = FakeEntry::start(&[], |_, _| refusal(413, "too_large"));
    let body = "x".repeat(MAX_BODY + 1);
    let directory = Directory::new("ask");
    let file = directory.file("prompt.txt", &body);

    let args = ["--model", "m", "--prompt-file", &file];
    let run = ask_entries(&[entry.address], &args);

    assert_eq!(run.code, 3, "{}", run.err);
    assert!(run.err.contains("not_run: too_large"), "{}", run.err);
}

#[test]
fn each_outcome_has_its_own_exit_code() {
    let full = FakeEntry::start(&[], |_, _| refusal(503, "fleet_full"));
    let other_server = FakeEntry::start(&[], |_, _| json_answer(404, "{}"));

    assert_eq!(send_prompt(&[full.address]).code, 3);
    assert_eq!(send_prompt(&[other_server.address]).code, 4);
    assert_eq!(send_prompt(&[closed_address()]).code, 5);
    assert_eq!(send_prompt(&[closed_address(), full.address]).code, 3);
}

#[test]
fn invalid_options_exit_with_2_and_name_the_option() {
    let entry = closed_address();
    let cases: [(&[&str], &str); 6] = [
        (
            &["--model", "m", "--prompt", "x", "--deadline-ms", "0"],
            "--deadline-ms",
        ),
        (
            &["--model", "m", "--prompt", "x", "--caller", "a\r\nb: c"],
            "ASCII",
        ),
        (&["--service", "a/b", "--body", "x"], "a/b"),
        (
            &["--model", "m", "--prompt-file", "/no/such/file"],
            "/no/such/file",
        ),
        (&["--model", "m", "--service", "s"], "--service"),
        (&["--prompt", "x"], "--model"),
    ];

    for (args, expected) in cases {
        let run = ask_entries(&[entry], args);
        assert_eq!(run.code, 2, "{args:?}: {}", run.err);
        assert!(run.err.contains(expected), "{args:?}: {}", run.err);
    }
}

#[test]
fn a_batch_is_numbered_and_counted() {
    let entry = FakeEntry::start(&[], |_, request| {
        if request.body.contains("parcel 2") {
            return refusal(503, "fleet_full");
        }
        label_answer()
    });

    let args = [
        "--json",
        "--service",
        "labels",
        "--body",
        "parcel {n}",
        "--count",
        "5",
    ];
    let run = ask_entries(
        &[entry.address],
        &[&args[..], &["--concurrency", "3"]].concat(),
    );

    assert_eq!(run.code, 3, "{}", run.err);
    assert!(
        run.err.contains("asked=5 completed=4 not_run=1 unknown=0"),
        "{}",
        run.err
    );
    let answers = run.answers();
    let refused = answers
        .iter()
        .find(|it| it["outcome"] == "not_run")
        .expect("one was refused");
    assert_eq!((answers.len(), refused["number"].as_u64()), (5, Some(2)));
    let received = entry.received();
    let mut keys: Vec<_> = received
        .iter()
        .map(|it| it.header("idempotency-key"))
        .collect();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys.len(), 5);
}

#[test]
fn a_long_prompt_has_a_progress_line() {
    let entry = FakeEntry::start(&[], |_, _| complete_answer());
    let long = "x".repeat(80_000);

    let args = ["--progress", "--model", "m", "--prompt", &long];
    let run = ask_entries(&[entry.address], &args);

    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "good day\n"),
        "{}",
        run.err
    );
    assert!(
        run.err
            .contains("about 20000 tokens sent, 0 s of 60 s waited"),
        "{}",
        run.err
    );
}
