//! Parsing of records as a daemon receives them.

use whinlatch_wire::record::{RecordBody, RecordFault, parse_record};

fn route(schema: u32, spec: &str) -> String {
    format!(
        r#"{{"schema":{schema},"kind":"route","spec":{{"subject":{{"type":"model","model":"m"}},{spec}}}}}"#
    )
}

fn path_of(value: &str) -> String {
    match parse_record(value).expect_err("the record is faulty") {
        RecordFault::BadField { path, .. } => path,
        other => panic!("no field is named: {other}"),
    }
}

#[test]
fn equal_routes_in_both_schemas_parse_to_the_same_record() {
    let old = route(
        1,
        r#""new_share_percent":25,"old_version":7,"new_version":1"#,
    );
    let new = route(
        2,
        r#""providers":[{"provider":"old","version":7,"share_per_mille":750},
        {"provider":"new","version":1,"share_per_mille":250}]"#,
    );

    assert_eq!(parse_record(&old), parse_record(&new));
    assert!(matches!(parse_record(&new), Ok(RecordBody::Route(_))));
}

#[test]
fn the_full_path_of_the_faulty_field_is_reported() {
    let wrong_share = route(
        2,
        r#""providers":[{"provider":"old","share_per_mille":500},
        {"provider":"new","share_per_mille":"half"}]"#,
    );
    let wrong_sum = route(
        2,
        r#""providers":[{"provider":"old","share_per_mille":999}]"#,
    );
    let huge_sum = route(
        2,
        r#""providers":[{"provider":"old","share_per_mille":4294967295},
        {"provider":"new","share_per_mille":1001}]"#,
    );

    assert_eq!(path_of(&wrong_share), "spec.providers[1].share_per_mille");
    assert_eq!(path_of(&wrong_sum), "spec.providers");
    assert_eq!(path_of(&huge_sum), "spec.providers[0].share_per_mille");
}

#[test]
fn unknown_and_duplicate_fields_are_rejected_at_each_level() {
    let in_spec = route(1, r#""new_share_percent":0,"note":"x""#);
    let in_subject = in_spec.replace(r#""model":"m""#, r#""model":"m","note":"x""#);
    let at_top = route(1, r#""new_share_percent":0"#).replace("{\"schema", "{\"note\":1,\"schema");
    let duplicate = route(1, r#""new_share_percent":0,"new_share_percent":100"#);

    assert_eq!(path_of(&in_spec), "spec.note");
    assert_eq!(path_of(&in_subject), "spec.subject.note");
    assert_eq!(path_of(&at_top), "note");
    assert_eq!(path_of(&duplicate), "spec.new_share_percent");
}

#[test]
fn unknown_schemas_are_reported_regardless_of_their_fields() {
    let value = r#"{"schema":3,"kind":"herd","flock":[]}"#;

    assert_eq!(
        parse_record(value),
        Err(RecordFault::UnknownSchema { found: 3 })
    );
}

/// Guards against a stack overflow that would abort every daemon: a value may be a megabyte of
/// opening brackets, and a parser without a recursion limit would overflow its stack.
#[test]
fn deep_nesting_is_rejected() {
    let value = "[".repeat(1_000_000);

    assert!(matches!(
        parse_record(&value),
        Err(RecordFault::NotJson { .. })
    ));
}

/// Guards against names that can be published but not used: a header can't contain `müller`, so
/// that each call of such an account would be rejected without an apparent reason.
#[test]
fn names_that_no_header_can_contain_are_rejected() {
    let with_account = |name: &str| {
        route(
            1,
            &format!(r#""accounts":["{name}"],"new_share_percent":0"#),
        )
    };

    for rejected in ["müller", "a/b", "a b", "a\\nb"] {
        assert_eq!(
            path_of(&with_account(rejected)),
            "spec.accounts[0]",
            "{rejected}"
        );
    }
    parse_record(&with_account("members-1.app@x")).expect("a header can contain this name");
}
