//! `whinlatch ask` against entries whose answers the tests write.

use {
    crate::support::{
        Directory, FakeEntry, MAX_BODY, Run, dead_address, event_stream, full_answer, json_answer,
        outcome_event, outcome_json, text_event, whinlatch,
    },
    std::net::SocketAddr,
};

const TICKET: &str = "0000000000000000000000000000000a-0000000000000001";

fn ask_at(entries: &[SocketAddr], args: &[&str]) -> Run {
    let entries: Vec<String> = entries.iter().map(SocketAddr::to_string).collect();
    let mut all = vec!["ask", "--account", "members", "--key", "secret"];
    for entry in &entries {
        all.extend(["--entry", entry]);
    }
    all.extend(args);
    whinlatch(&all)
}

fn prompt(entries: &[SocketAddr]) -> Run {
    ask_at(entries, &["--model", "m", "--prompt", "hello"])
}

fn label(entries: &[SocketAddr]) -> Run {
    ask_at(entries, &["--service", "labels", "--body", "parcel 7"])
}

fn whole_answer() -> Vec<u8> {
    event_stream(&[
        ": comment\n\n".to_owned(),
        text_event(1, "good "),
        text_event(1, "day"),
        outcome_event(1, "completed", "done"),
        "data: [DONE]\n\n".to_owned(),
    ])
}

fn ticket_needed() -> Vec<u8> {
    let more = format!(",\"ticket\":\"{TICKET}\"");
    json_answer(428, &outcome_json(1, "not_run", "ticket_needed", &more))
}

fn refusal(status: u16, reason: &str) -> Vec<u8> {
    json_answer(status, &outcome_json(1, "not_run", reason, ""))
}

fn printed_label() -> Vec<u8> {
    let headers = "whinlatch-outcome: completed\r\nwhinlatch-reason: done\r\n";
    full_answer(201, headers, "label 7")
}

#[test]
fn a_prompt_is_streamed_to_standard_output() {
    let entry = FakeEntry::start(&[], |_, _| whole_answer());

    let run = prompt(&[entry.address]);

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
fn a_label_is_sent_again_with_its_ticket_and_the_same_key() {
    let entry = FakeEntry::start(&[], |number, _| match number {
        0 => ticket_needed(),
        _ => printed_label(),
    });

    let run = label(&[entry.address]);

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

/// A member asks for a label; the entry that gave the ticket begins to leave before the call comes
/// with it. The call goes on to another entry. Without its ticket it would get a new one there,
/// and the parcel could get two labels.
#[test]
fn a_label_keeps_its_ticket_at_the_next_entry() {
    let next = FakeEntry::start(&[], |_, _| printed_label());
    let leaving = FakeEntry::start(&[], |number, _| match number {
        0 => ticket_needed(),
        _ => refusal(503, "leaving"),
    });
    let listing = FakeEntry::start(&[leaving.address, next.address], |_, _| Vec::new());

    let run = label(&[listing.address]);

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

/// A member asks for a label; the entry that gave the ticket dies after the call has come with it.
/// The label may have been printed. Another entry knows nothing of it and says so by `not_run`;
/// passed on as it is, that would let the member ask anew and get a second label.
#[test]
fn not_run_of_another_entry_does_not_speak_for_a_broken_attempt() {
    let other = FakeEntry::start(&[], |_, _| refusal(503, "fleet_full"));
    let dying = FakeEntry::start(&[], |number, _| match number {
        0 => ticket_needed(),
        _ => Vec::new(),
    });
    let listing = FakeEntry::start(&[dying.address, other.address], |_, _| Vec::new());

    let run = label(&[listing.address]);

    assert_eq!((run.code, run.out.as_str()), (4, ""), "{}", run.err);
    assert!(
        run.err.starts_with("unknown: connection_lost"),
        "{}",
        run.err
    );
    assert_eq!(other.received()[0].header("whinlatch-ticket"), Some(TICKET));
    assert!(
        run.err.contains(TICKET),
        "whoever asks again needs the ticket: {}",
        run.err
    );
}

#[test]
fn a_ticket_of_an_earlier_ask_is_sent_at_once() {
    let entry = FakeEntry::start(&[], |_, _| printed_label());

    let args = ["--service", "labels", "--body", "x", "--ticket", TICKET];
    let run = ask_at(&[entry.address], &args);

    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(entry.received()[0].header("whinlatch-ticket"), Some(TICKET));
    let many = [&args[..], &["--count", "2"]].concat();
    assert_eq!(ask_at(&[entry.address], &many).code, 2);
}

/// A planner reads half a manifest: the daemon died in the middle of the stream. Taken for whole,
/// carts go out short.
#[test]
fn half_an_answer_is_not_taken_for_whole() {
    let entry = FakeEntry::start(&[], |_, _| event_stream(&[text_event(1, "half")]));

    let run = prompt(&[entry.address]);

    assert_eq!((run.code, run.out.as_str()), (4, "half\n"), "{}", run.err);
}

/// Two answers crossed on their way: the second part belongs to another member's request.
#[test]
fn parts_of_another_answer_are_not_printed() {
    let entry = FakeEntry::start(&[], |_, _| {
        let crossed = text_event(2, "theirs");
        event_stream(&[
            text_event(1, "mine"),
            crossed,
            outcome_event(1, "completed", "done"),
        ])
    });

    let run = prompt(&[entry.address]);

    assert_eq!((run.code, run.out.as_str()), (4, "mine\n"), "{}", run.err);
}

#[test]
fn a_broken_stream_is_asked_again_elsewhere_while_nothing_is_printed() {
    let good = FakeEntry::start(&[], |_, _| whole_answer());
    let dying = FakeEntry::start(&[], |_, _| event_stream(&[text_event(1, "half")]));
    let listing = FakeEntry::start(&[dying.address, good.address], |_, _| Vec::new());

    let run = ask_at(
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

/// A prompt over the limit is refused after its head, and its body is not read. A sender that
/// looks for an answer only after the whole body waits until the deadline, and the user never
/// learns of the limit.
#[test]
fn an_early_refusal_of_a_long_body_is_read() {
    let entry = FakeEntry::start(&[], |_, _| refusal(413, "too_large"));
    let body = "x".repeat(MAX_BODY + 1);
    let directory = Directory::new("ask");
    let file = directory.file("prompt.txt", &body);

    let args = ["--model", "m", "--prompt-file", &file];
    let run = ask_at(&[entry.address], &args);

    assert_eq!(run.code, 3, "{}", run.err);
    assert!(run.err.contains("not_run: too_large"), "{}", run.err);
}

#[test]
fn exit_codes_tell_the_ends_apart() {
    let full = FakeEntry::start(&[], |_, _| refusal(503, "fleet_full"));
    let other_server = FakeEntry::start(&[], |_, _| json_answer(404, "{}"));

    assert_eq!(prompt(&[full.address]).code, 3);
    assert_eq!(prompt(&[other_server.address]).code, 4);
    assert_eq!(prompt(&[dead_address()]).code, 5);
    assert_eq!(prompt(&[dead_address(), full.address]).code, 3);
}

#[test]
fn wrong_options_end_with_2_and_the_remedy() {
    let entry = dead_address();
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

    for (args, told) in cases {
        let run = ask_at(&[entry], args);
        assert_eq!(run.code, 2, "{args:?}: {}", run.err);
        assert!(run.err.contains(told), "{args:?}: {}", run.err);
    }
}

#[test]
fn a_mix_is_counted_and_numbered() {
    let entry = FakeEntry::start(&[], |_, request| {
        if request.body.contains("parcel 2") {
            return refusal(503, "fleet_full");
        }
        printed_label()
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
    let run = ask_at(
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
    let entry = FakeEntry::start(&[], |_, _| whole_answer());
    let long = "x".repeat(80_000);

    let args = ["--progress", "--model", "m", "--prompt", &long];
    let run = ask_at(&[entry.address], &args);

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
