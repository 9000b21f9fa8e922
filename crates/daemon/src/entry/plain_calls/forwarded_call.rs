//! Calls that a peer serves, since this instance reaches no target of their service.

use {
    super::{
        super::{
            answer_limits::max_answer_bytes,
            exchange::RequestEnd,
            forward::{Forward, ForwardFault, ForwardedHead},
        },
        plain_call::PlainCall,
    },
    crate::entry::target_connection::TargetFault,
};

impl PlainCall<'_> {
    /// Has a peer serve the call. Returns `None` if no peer took it, or if the connection to the peer broke and the call
    /// may be sent again.
    pub async fn serve_through_peer(&self, forward: &mut Forward<'_>) -> Option<RequestEnd> {
        let (context, answer) = (self.context, self.answer);
        let (peer, fault) = match forward.send(self.runs.count(), None).await {
            Ok(forwarded) => {
                let peer = *forwarded.guard.peer();
                match self.pass_on_from_peer(forwarded).await {
                    Ok(end) => return Some(end),
                    Err(fault) => (peer, fault),
                }
            }
            Err(ForwardFault::NotTaken) => return None,
            Err(ForwardFault::Broken { peer, fault }) => (peer, fault),
        };
        answer.record_send();
        if context.route.retry_policy.is_idempotent() {
            for _ in 0..forward.runs_at(&peer).await {
                self.runs.add();
            }
            return None;
        }
        let reason = format!("the peer didn't answer: {fault}");
        Some(RequestEnd::error(answer, 502, &reason, None).await)
    }

    /// Receives the answer that comes through a peer, and passes it on as it is: the peer has judged it already.
    async fn pass_on_from_peer(
        &self,
        mut forwarded: ForwardedHead<'_>,
    ) -> Result<RequestEnd, TargetFault> {
        let max_bytes = max_answer_bytes(&forwarded.head);
        let body = forwarded
            .connection
            .complete_body(&forwarded.head, max_bytes)
            .await?;
        self.check_answer(&forwarded.head, &body)?;
        let status = forwarded.head.status;
        let written = self.answer.write_full(&forwarded.head, &body).await;
        let is_sealed = forwarded.is_sealed;
        forwarded.keep_connection(self.state);
        Ok(match written {
            Err(_gone) => RequestEnd::caller_gone(),
            Ok(()) if is_sealed => RequestEnd::answered(status),
            Ok(()) => RequestEnd::passed_error(status),
        })
    }
}
