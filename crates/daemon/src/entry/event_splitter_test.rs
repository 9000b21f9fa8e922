use super::{BegunAnew, EventSplitter, check_resumed, ends_inside_event};

/// Splits what arrives in these parts, and returns the complete events and what is left.
fn split(parts: &[&str]) -> (String, String) {
    let mut splitter = EventSplitter::default();
    let mut complete = Vec::new();
    for part in parts {
        splitter.buffer().extend_from_slice(part.as_bytes());
        complete.extend(splitter.take_complete().unwrap().unwrap_or_default());
    }
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (text(complete), text(splitter.take_rest()))
}

#[test]
fn events_end_with_an_empty_line_of_any_line_end() {
    for end in ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n", "\n\r"] {
        let event = format!("id: 1{end}");

        let (complete, rest) = split(&[&event, "id: 2"]);

        assert_eq!((complete, rest.as_str()), (event, "id: 2"));
    }
}

/// Guards against an event that is cut where a line end of two bytes arrives in two parts.
#[test]
fn a_line_end_that_arrives_in_two_parts_ends_one_line() {
    let (complete, rest) = split(&["id: 1\r", "\ndata: x\r\n\r", "\nid: 2\r\n\r\n"]);

    assert_eq!(complete, "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n");
    assert_eq!(rest, "");
}

#[test]
fn the_last_id_is_that_of_the_last_complete_event() {
    let mut splitter = EventSplitter::default();
    splitter
        .buffer()
        .extend_from_slice(b"id: 7\rdata\r\rid: 8\r");

    let complete = splitter.take_complete().unwrap();

    assert_eq!(complete.map(|events| events.len()), Some(12));
    assert_eq!(
        (splitter.last_id(), splitter.is_resumable()),
        (Some(7), true)
    );
}

/// Guards against a stream that goes on at an event before its last one, since that has no id which another target knows.
#[test]
fn a_stream_is_resumable_only_after_an_event_with_a_number() {
    for (stream, last_id, is_resumable) in [
        ("", None, true),
        (": ping\n\n", None, true),
        ("retry: 9\n\n", None, true),
        ("id: 3\ndata: x\n\n: ping\n\n", Some(3), true),
        ("id: 3\r\ndata: x\r\n\r\n", Some(3), true),
        ("data: x\nid:3\n\n", Some(3), true),
        ("weights: 4\nid: 3\ndata\n\n", Some(3), true),
        ("data: x\n\n", None, false),
        ("id: 3\ndata: x\n\ndata: y\n\n", None, false),
        ("id: a\ndata: x\n\n", None, false),
        ("id: +3\ndata: x\n\n", None, false),
        ("id:\ndata: x\n\n", None, false),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.buffer().extend_from_slice(stream.as_bytes());

        let _complete = splitter.take_complete().unwrap();

        let state = (splitter.last_id(), splitter.is_resumable());
        assert_eq!(state, (last_id, is_resumable), "{stream:?}");
    }
}

/// Guards against events that come twice, from a target that ignores where it was to go on.
#[test]
fn an_attempt_that_was_to_go_on_begins_after_the_last_event() {
    for (stream, end) in [
        ("", Ok(())),
        (": ping\n\n", Ok(())),
        ("id: 3\ndata: x\n\n", Ok(())),
        (": ping\n\nid: 9\ndata: x\n\nid: 1\n\n", Ok(())),
        ("id: 2\ndata: x\n\n", Err(BegunAnew)),
        ("id: 1\r\ndata: x\r\n\r\nid: 3\n\n", Err(BegunAnew)),
        ("data: x\n\n", Err(BegunAnew)),
        ("id: a\ndata: x\n\n", Err(BegunAnew)),
    ] {
        assert_eq!(check_resumed(stream.as_bytes(), Some(2)), end, "{stream:?}");
        assert_eq!(check_resumed(stream.as_bytes(), None), Ok(()), "{stream:?}");
    }
}

/// As above, where the first event comes after a comment.
#[test]
fn the_first_event_of_an_attempt_is_checked_once() {
    let mut splitter = EventSplitter::default();
    splitter.begin_attempt(Some(2));
    let mut take = |text: &[u8]| {
        splitter.buffer().extend_from_slice(text);
        splitter.take_complete().map(|events| events.is_some())
    };

    let taken = [b": a\n\n".as_slice(), b"id: 3\n\n", b"id: 3\n\n"].map(&mut take);
    splitter.begin_attempt(Some(3));
    splitter.buffer().extend_from_slice(b"id: 3\n\n");

    assert_eq!(taken, [Ok(true); 3]);
    assert_eq!(splitter.take_complete(), Err(BegunAnew));
}

/// Guards against a truncated event that is taken for the end of a stream.
#[test]
fn a_stream_ends_inside_an_event_unless_only_line_ends_or_comments_follow_the_last_one() {
    for complete in [
        "",
        "id: 1\n\n",
        "id: 1\n\n\n",
        "id: 1\r\n\r\n",
        "id: 1\n\n: bye\n",
    ] {
        assert!(!ends_inside_event(complete.as_bytes()), "{complete:?}");
    }
    for cut in [
        "i",
        "id: 1",
        "id: 1\n",
        "id: 1\n\nid: 2\ndata: x\n",
        "id: 1\n\n: by",
    ] {
        assert!(ends_inside_event(cut.as_bytes()), "{cut:?}");
    }
}
