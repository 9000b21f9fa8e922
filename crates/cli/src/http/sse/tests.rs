use {
    super::{Event, EventReader, MAX_EVENT_BYTES},
    async_std::{io::Cursor, task::block_on},
};

fn read_all(text: &str) -> Vec<Event> {
    block_on(async {
        let mut reader = EventReader::new(Cursor::new(text.as_bytes()));
        let mut events = Vec::new();
        while let Some(event) = reader.next().await.expect("the stream is well formed") {
            events.push(event);
        }
        events
    })
}

fn event(name: &str, data: &str) -> Event {
    Event {
        name: name.to_owned(),
        data: data.to_owned(),
    }
}

#[test]
fn events_are_separated_and_comments_skipped() {
    let text = ": waiting\n\ndata: a\n\nevent: outcome\r\ndata: b\r\ndata:c\r\n\r\nid: 1\ndata\n\n";

    assert_eq!(
        read_all(text),
        [event("", "a"), event("outcome", "b\nc"), event("", "")]
    );
}

#[test]
fn a_name_without_data_does_not_carry_over_to_the_next_event() {
    assert_eq!(read_all("event: outcome\n\ndata: a\n\n"), [event("", "a")]);
}

/// A daemon that dies while it writes leaves an incomplete event. If it were returned, truncated text would
/// be printed, or a truncated outcome reported.
#[test]
fn an_event_that_the_stream_ends_in_is_dropped() {
    assert_eq!(read_all("data: a\n\ndata: b"), [event("", "a")]);
    assert_eq!(read_all("data: a\n\ndata: b\n"), [event("", "a")]);
}

#[test]
fn an_event_over_the_size_limit_is_an_error() {
    let text = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES));
    let mut reader = EventReader::new(Cursor::new(text.as_bytes()));

    block_on(reader.next()).expect_err("the event is over the limit");
}
