//! Calls that this instance makes to a target itself, not for a caller: reports and orders.

use {
    super::{
        answer_limits::MAX_OWN_CALL_BYTES,
        attempt::{AttemptFault, MAX_MISMATCHED_ANSWERS, connection},
        entry_state::EntryState,
        http::ResponseHead,
        permits::{is_permitted, note_unpermitted_send},
        target_connection::TargetConnection,
    },
    std::fmt::Write,
    whinlatch_platform::TargetResponse,
    whinlatch_serving::targets::TargetEntry,
};

/// A call to a target.
#[derive(Debug, Clone, Copy)]
pub enum OwnCall<'a> {
    /// GET of a path.
    Query(&'a str),
    /// POST of a JSON body to a path.
    Order(&'a str, &'a [u8]),
}

/// Handling of a call while its target's limit is used up or the target asked for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The call isn't made.
    Optional,
    /// The call is made, and counts towards the limit.
    Required,
}

impl<'a> OwnCall<'a> {
    fn method(self) -> &'static str {
        match self {
            Self::Query(_) => "GET",
            Self::Order(..) => "POST",
        }
    }

    fn path(self) -> &'a str {
        match self {
            Self::Query(path) | Self::Order(path, _) => path,
        }
    }

    fn request(self, target: &TargetEntry) -> Vec<u8> {
        let (method, path, address) = (self.method(), self.path(), target.address);
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
        let body: &[u8] = match self {
            Self::Query(_) => &[],
            Self::Order(_, body) => {
                // Writing to a String can't fail.
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

/// Makes a call, which counts towards the limit of its target. Returns the head and body of the answer,
/// also for an error status.
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
        Need::Required => note_unpermitted_send(state, &target.id),
        Need::Optional if is_permitted(state, &target.id).await => {}
        Need::Optional => return Err(AttemptFault::NotPermitted),
    }
    let mut connection = connection(state, target).await?;
    let sent_at = state.now();
    let request = call.request(target);
    connection.send(&request).await?;
    let (head, body, answer) = receive(&mut connection, call).await?;
    state.serving().record_heard(state.now(), &target.id);
    state.apply_notice(sent_at, &target.id, &answer.notice);
    if head.keeps_alive {
        let now = state.now();
        state
            .pool
            .put(now, target.address, connection, head.keep_alive_ms);
    }
    Ok((head, body))
}

/// Receives the answer to a call. Those that name a caller's request are skipped: the target has answered that twice.
async fn receive(
    connection: &mut TargetConnection,
    call: OwnCall<'_>,
) -> Result<(ResponseHead, Vec<u8>, TargetResponse), AttemptFault> {
    for _ in 0..=MAX_MISMATCHED_ANSWERS {
        let head = connection.head(call.method()).await?;
        let body = connection.complete_body(&head, MAX_OWN_CALL_BYTES).await?;
        let answer = TargetResponse::read(head.status, head.pairs());
        if answer.request_id.is_none() {
            return Ok((head, body, answer));
        }
    }
    Err(AttemptFault::Mismatched)
}
