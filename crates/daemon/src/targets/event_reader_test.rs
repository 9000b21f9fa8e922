use {super::EventReader, super::MAX_LINE_BYTES, futures::io::Cursor, std::io::ErrorKind};

#[async_std::test]
async fn data_of_events_is_read_and_other_lines_are_skipped() {
    let text = b": comment\nevent: x\ndata: one\n\ndata:two\r\n\n";
    let mut events = EventReader::new(Cursor::new(text));

    assert_eq!(events.next().await.unwrap(), Some(&b"one"[..]));
    assert_eq!(events.next().await.unwrap(), Some(&b"two"[..]));
    assert_eq!(events.next().await.unwrap(), None);
}

#[async_std::test]
async fn a_stream_that_ends_within_a_line_is_broken() {
    let mut events = EventReader::new(Cursor::new(b"data: {\"text\":"));

    let end = events.next().await.unwrap_err();

    assert_eq!(end.kind(), ErrorKind::UnexpectedEof);
}

// Guards against a target that fills the daemon's memory with one endless line.
#[async_std::test]
async fn a_line_over_the_limit_is_refused() {
    let line = vec![b'x'; MAX_LINE_BYTES as usize + 10];
    let mut events = EventReader::new(Cursor::new(line));

    let end = events.next().await.unwrap_err();

    assert_eq!(end.kind(), ErrorKind::UnexpectedEof);
}
