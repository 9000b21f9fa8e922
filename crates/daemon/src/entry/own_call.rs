//! Calls of this system's own at a target, which no caller has asked for: reports and orders.

use {
    super::{
        attempt::{AttemptFault, connection},
        entry_state::EntryState,
        http::ResponseHead,
        permits::{is_permitted, note_sent_anyway},
    },
    std::fmt::Write,
    whinlatch_platform::TargetResponse,
    whinlatch_serving::targets::TargetEntry,
};

/// What a target is asked.
#[derive(Debug, Clone, Copy)]
pub enum OwnCall<'a> {
    /// A question at a path.
    Ask(&'a str),
    /// An order in JSON at a path.
    Order(&'a str, &'a [u8]),
}

/// What becomes of a call where its target has a limit and takes nothing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// It isn't made.
    Wanted,
    /// It is made, and counts towards the limit.
    Due,
}

impl<'a> OwnCall<'a> {
    fn method(self) -> &'static str {
        match self {
            Self::Ask(_) => "GET",
            Self::Order(..) => "POST",
        }
    }

    fn path(self) -> &'a str {
        match self {
            Self::Ask(path) | Self::Order(path, _) => path,
        }
    }

    fn request(self, target: &TargetEntry) -> Vec<u8> {
        let (method, path, address) = (self.method(), self.path(), target.address);
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
        let body: &[u8] = match self {
            Self::Ask(_) => &[],
            Self::Order(_, body) => {
                // Writing to a string never fails.
                let _written = write!(
                    text,
                    "Content-Type: application/json\r\nContent-Length: {}\r\n",
                    body.len()
                );
                body
            }
        };
        text.push_str("\r\n");
        [text.as_bytes(), body].concat()
    }
}

/// Makes a call, which counts towards a limit of its target. Returns the head and body of the answer, whatever
/// the status.
///
/// # Errors
/// [`AttemptFault`].
pub async fn own_call(
    state: &EntryState,
    target: &TargetEntry,
    call: OwnCall<'_>,
    need: Need,
) -> Result<(ResponseHead, Vec<u8>), AttemptFault> {
    match need {
        Need::Due => note_sent_anyway(state, &target.id),
        Need::Wanted if is_permitted(state, &target.id).await => {}
        Need::Wanted => return Err(AttemptFault::NotPermitted),
    }
    let mut connection = connection(state, target).await?;
    let sent_at = state.now();
    let request = call.request(target);
    let (head, body) = connection.exchange(call.method(), &request).await?;
    let answer = TargetResponse::read(head.status, head.pairs());
    state.note_answer(sent_at, &target.id, &answer.notice);
    if head.is_kept {
        let now = state.now();
        state
            .pool
            .put(now, target.address, connection, head.keep_ms);
    }
    Ok((head, body))
}
