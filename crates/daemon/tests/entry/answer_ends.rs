//! Ends of targets' answers, by framing, place and the end of the connection, and what each tells the caller.

use {
    super::fixture::{target, targets_in_turn, world},
    whinlatch_platform_standins::{
        AnswerEnd, AnswerFraming, Behaviour, CALL_PREFIX, CallerRequest, CallerResponse,
        ConnectionEnd, SAFE_PREFIX, STREAM_PREFIX,
    },
};

/// Where in a stream its engine stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    BeforeFirstEvent,
    BetweenEvents,
    InsideFirstEvent,
    InsideEvent,
}

impl Place {
    const ALL: [Self; 4] = [
        Self::BeforeFirstEvent,
        Self::BetweenEvents,
        Self::InsideFirstEvent,
        Self::InsideEvent,
    ];

    /// Returns what an engine sends that stops there.
    fn body(self) -> String {
        let cut = "id: 3\ndata: eve";
        match self {
            Self::BeforeFirstEvent => String::new(),
            Self::BetweenEvents => events(1, 2),
            Self::InsideFirstEvent => "id: 1\ndata: eve".to_owned(),
            Self::InsideEvent => events(1, 2) + cut,
        }
    }

    /// Returns the complete events of [`Self::body`].
    fn complete_events(self) -> String {
        match self {
            Self::BeforeFirstEvent | Self::InsideFirstEvent => String::new(),
            Self::BetweenEvents | Self::InsideEvent => events(1, 2),
        }
    }

    fn is_inside_event(self) -> bool {
        matches!(self, Self::InsideFirstEvent | Self::InsideEvent)
    }
}

/// An engine's stream with its end.
#[derive(Debug, Clone, Copy)]
struct StreamCase {
    place: Place,
    framing: AnswerFraming,
    is_framed_complete: bool,
    connection: ConnectionEnd,
}

impl StreamCase {
    fn behaviour(self) -> Behaviour {
        Behaviour::End(AnswerEnd {
            body: self.place.body(),
            media_type: None,
            framing: self.framing,
            is_framed_complete: self.is_framed_complete,
            connection: self.connection,
        })
    }

    /// Returns whether the stream is complete: an event that was begun is there as a whole, and either the framing
    /// says that the answer ends here, or a connection that bounds it was closed in order after an event.
    fn is_complete(self) -> bool {
        let ends_here = match self.framing {
            AnswerFraming::Length | AnswerFraming::Chunked => self.is_framed_complete,
            AnswerFraming::UntilClose => {
                self.connection == ConnectionEnd::Close && self.place == Place::BetweenEvents
            }
        };
        ends_here && !self.place.is_inside_event()
    }
}

fn stream_cases() -> Vec<StreamCase> {
    let mut cases = Vec::new();
    for place in Place::ALL {
        for framing in [
            AnswerFraming::Length,
            AnswerFraming::Chunked,
            AnswerFraming::UntilClose,
        ] {
            for is_framed_complete in [false, true] {
                for connection in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                    cases.push(StreamCase {
                        place,
                        framing,
                        is_framed_complete,
                        connection,
                    });
                }
            }
        }
    }
    cases
}

fn prompt() -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000)
}

fn events(first: u64, last: u64) -> String {
    let events: Vec<String> = (first..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    events.concat()
}

/// Sends a prompt to an instance with one engine, which answers like this.
async fn serve_alone(behaviour: Behaviour) -> CallerResponse {
    let engine = target("e-1", behaviour);
    let world = world(&[&engine], &[]).await;
    world.exchange(&prompt())
}

/// Guards against a truncated stream that its caller takes for complete, after its engine stopped inside an event,
/// before the first one, or with a reset.
#[async_std::test]
async fn a_stream_that_broke_off_is_not_framed_as_complete() {
    let mut misjudged = Vec::new();
    for case in stream_cases() {
        let answer = serve_alone(case.behaviour()).await;

        let complete_events = case.place.complete_events();
        let is_as_expected = if case.is_complete() {
            answer.status == 200 && answer.is_whole && answer.body == complete_events
        } else if complete_events.is_empty() {
            answer.status == 502
        } else {
            answer.status == 200 && !answer.is_whole && answer.body == complete_events
        };
        if !is_as_expected {
            misjudged.push((case, answer));
        }
    }
    assert!(misjudged.is_empty(), "{misjudged:#?}");
}

/// Guards against a stream that ends early though another engine could go on after its last complete event.
#[async_std::test]
async fn a_stream_that_broke_off_goes_on_at_another_engine() {
    let broken_off = stream_cases()
        .into_iter()
        .filter(|case| !case.is_complete());
    for case in broken_off {
        let engines = targets_in_turn(&case.behaviour(), &Behaviour::Stream(5));
        let world = world(&engines.each_ref(), &[]).await;

        let answer = world.exchange(&prompt());

        assert_eq!((answer.status, answer.is_whole), (200, true), "{case:?}");
        assert_eq!(answer.body, events(1, 5), "{case:?}");
    }
}

/// As above, where the engine that goes on stops as well and no attempt is left.
#[async_std::test]
async fn a_resumed_stream_that_broke_off_is_not_framed_as_complete() {
    let resumed_body = events(3, 3) + "id: 4\ndata";
    for connection in [ConnectionEnd::Close, ConnectionEnd::Reset] {
        for framing in [AnswerFraming::Chunked, AnswerFraming::UntilClose] {
            let resumed = Behaviour::End(AnswerEnd {
                body: resumed_body.clone(),
                media_type: None,
                framing,
                is_framed_complete: false,
                connection,
            });
            let engines = targets_in_turn(&Behaviour::StreamBroken(2), &resumed);
            let world = world(&engines.each_ref(), &[]).await;

            let answer = world.exchange(&prompt());

            assert_eq!(
                (answer.status, answer.is_whole),
                (200, false),
                "{resumed:?}"
            );
            assert_eq!(answer.body, events(1, 3), "{resumed:?}");
        }
    }
}

/// Guards against a success for a call whose answer has no length and broke off with a reset, or within its head.
#[async_std::test]
async fn a_call_whose_answer_broke_off_is_no_success() {
    let reset_body = Behaviour::End(AnswerEnd {
        body: "half".to_owned(),
        media_type: None,
        framing: AnswerFraming::UntilClose,
        is_framed_complete: false,
        connection: ConnectionEnd::Reset,
    });
    let ends = [
        reset_body,
        Behaviour::EndInHead(ConnectionEnd::Close),
        Behaviour::EndInHead(ConnectionEnd::Reset),
    ];
    for end in ends {
        let alone = target("t-1", end.clone());
        let world_of_one = world(&[], &[&alone]).await;
        let call = CallerRequest::new("POST", format!("{CALL_PREFIX}print"));
        let failed = world_of_one.exchange(&call);

        let targets = targets_in_turn(&end, &Behaviour::Serve("whole"));
        let world_of_two = world(&[], &targets.each_ref()).await;
        let safe_call = CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"));
        let served = world_of_two.exchange(&safe_call);

        assert_eq!(failed.status, 502, "{end:?}");
        assert_eq!((served.status, &*served.body), (200, "whole"), "{end:?}");
    }
}

/// Guards against a stream that is taken as broken for an empty line, or a comment, after its last event.
#[async_std::test]
async fn what_follows_the_last_event_without_being_one_does_not_break_a_stream() {
    for tail in ["\n", "\r\n", ": bye\n\n"] {
        let answer = serve_alone(Behaviour::End(AnswerEnd {
            body: events(1, 2) + tail,
            media_type: None,
            framing: AnswerFraming::UntilClose,
            is_framed_complete: true,
            connection: ConnectionEnd::Close,
        }))
        .await;

        assert_eq!((answer.status, answer.is_whole), (200, true), "{tail:?}");
        assert_eq!(answer.body, events(1, 2) + tail);
    }
}

/// Guards against an answer on a streaming route that is taken as broken since it has no events and says so.
#[async_std::test]
async fn an_answer_that_declares_another_type_is_no_stream() {
    let answer = serve_alone(Behaviour::End(AnswerEnd {
        body: "{}".to_owned(),
        media_type: Some("application/json"),
        framing: AnswerFraming::Length,
        is_framed_complete: true,
        connection: ConnectionEnd::Close,
    }))
    .await;

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, "{}");
}

/// Guards against a truncated stream as a success, where a request without the headers of a prompt is served as a
/// call, and against an answer without a length of which nothing came.
#[async_std::test]
async fn a_stream_that_is_served_as_a_call_is_no_success_if_it_broke_off() {
    for body in [String::new(), Place::InsideEvent.body()] {
        let engine = target(
            "e-1",
            Behaviour::End(AnswerEnd {
                body: body.clone(),
                media_type: Some("text/event-stream; charset=utf-8"),
                framing: AnswerFraming::UntilClose,
                is_framed_complete: true,
                connection: ConnectionEnd::Close,
            }),
        );
        let world = world(&[&engine], &[]).await;

        let answer = world.exchange(&CallerRequest::new("POST", format!("{STREAM_PREFIX}x")));

        assert_eq!(answer.status, 502, "{body:?}");
    }
}

/// Guards against chunks after an answer that has no body, which a caller reads as the begin of its next answer.
#[async_std::test]
async fn an_answer_without_a_body_to_a_prompt_leaves_its_connection_usable() {
    let engine = target("e-1", Behaviour::Stream(2));
    engine.script([Behaviour::NoContent]);
    let world = world(&[&engine], &[]).await;
    let mut caller = world.connect();
    let none = caller.exchange(&prompt());

    let next = caller.exchange(&prompt());

    assert_eq!((none.status, none.header("Transfer-Encoding")), (204, None));
    assert_eq!((next.status, next.body), (200, events(1, 2)));
}
