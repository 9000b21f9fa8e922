//! Help texts, shell completion and the handling of the key.

use {
    crate::support::{FakeEntry, json_answer, whinlatch, whinlatch_with},
    insta::assert_snapshot,
};

#[test]
fn help_names_the_commands_and_the_exit_codes() {
    let run = whinlatch(&["--help"]);

    assert_eq!(run.code, 0);
    assert_snapshot!(run.out);
}

#[test]
fn help_of_ask_names_its_options() {
    let run = whinlatch(&["ask", "--help"]);

    assert_eq!(run.code, 0);
    assert_snapshot!(run.out);
}

#[test]
fn a_completion_script_is_printed_for_shells() {
    let run = whinlatch(&["--bpaf-complete-style-bash"]);

    assert_eq!(run.code, 0);
    assert!(run.out.contains("complete"), "{}", run.out);
}

/// Help texts are passed on and error output ends up in logs. If either showed the key, others could send
/// requests for the account.
#[test]
fn the_key_is_taken_from_the_environment_and_never_shown() {
    let entry = FakeEntry::start(&[], |_, _| json_answer(404, "{}"));
    let address = entry.address.to_string();
    let environment = [
        ("WHINLATCH_KEY", "hunter2"),
        ("WHINLATCH_ACCOUNT", "members"),
        ("WHINLATCH_ENTRY", address.as_str()),
    ];

    let help = whinlatch_with(&environment, &["ask", "--help"]);
    let run = whinlatch_with(&environment, &["ask", "--model", "m", "--prompt", "x"]);

    assert!(!help.out.contains("hunter2"), "{}", help.out);
    assert!(!(run.out + &run.err).contains("hunter2"));
    assert_eq!(
        entry.received()[0].header("authorization"),
        Some("Bearer hunter2")
    );
}
