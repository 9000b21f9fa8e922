//! Streams that come through a peer, since this instance reaches no engine.

use {
    super::{
        answer_limits::max_answer_bytes,
        exchange::RequestEnd,
        forward::{Forward, ForwardFault, ForwardedHead},
        http::{BodyDecoder, BodyProgress},
        stream_relay::Relay,
        target_connection::TargetFault,
    },
    futures::{
        future::{Either, pending, select},
        pin_mut,
    },
    std::io,
    whinlatch_serving::ForwardPeer,
};

/// End of a stream that came through a peer.
enum PeerStreamEnd {
    /// All events were passed on.
    Complete,
    /// The caller disconnected before the end.
    CallerGone,
}

impl Relay<'_> {
    /// Has a peer serve the prompt, or the rest of its stream. Returns `None` if no peer took it, or if its stream broke
    /// off; what has arrived of it was passed on then.
    pub(super) async fn serve_through_peer(
        &mut self,
        forward: &mut Forward<'_>,
    ) -> Option<RequestEnd> {
        self.splitter.begin_attempt(self.last_event_id());
        let received = self.splitter.last_id();
        let forwarded = match forward.send(self.runs, received).await {
            Ok(forwarded) => forwarded,
            Err(ForwardFault::NotTaken) => return None,
            Err(ForwardFault::Broken { peer, .. }) => {
                return self.record_broken_forward(forward, &peer).await;
            }
        };
        let peer = *forwarded.guard.peer();
        self.answer.record_framing(forwarded.head.framing);
        if !forwarded.head.is_success() {
            return Some(self.pass_on_peer_failure(forwarded).await);
        }
        match self.relay_from_peer(forward, forwarded).await {
            Ok(PeerStreamEnd::Complete) => Some(RequestEnd::answered(200)),
            Ok(PeerStreamEnd::CallerGone) => Some(RequestEnd::caller_gone()),
            Err(_broken) => self.record_broken_forward(forward, &peer).await,
        }
    }

    /// Records that the connection to a peer broke, which has sent the prompt to an engine. Returns the end of the
    /// request if that can't be tried again.
    async fn record_broken_forward(
        &mut self,
        forward: &Forward<'_>,
        peer: &ForwardPeer,
    ) -> Option<RequestEnd> {
        self.runs += forward.runs_at(peer).await;
        self.answer.record_send();
        self.answer
            .record_partial_event(self.splitter.partial_event_bytes());
        self.splitter.discard_partial();
        if self.context.route.retry_policy.is_idempotent() && self.splitter.is_resumable() {
            return None;
        }
        let reason = "the peer that served the stream didn't complete it";
        Some(RequestEnd::error(self.answer, 502, reason, None).await)
    }

    /// Passes on an error that comes through a peer.
    async fn pass_on_peer_failure(&self, mut forwarded: ForwardedHead<'_>) -> RequestEnd {
        let status = forwarded.head.status;
        let max_bytes = max_answer_bytes(&forwarded.head);
        let received = forwarded
            .connection
            .complete_body(&forwarded.head, max_bytes);
        let Ok(body) = received.await else {
            let message = "the peer that was to serve the prompt didn't answer";
            return RequestEnd::error(self.answer, 502, message, None).await;
        };
        if self.answer.has_begun() {
            return RequestEnd::cut(format!("no peer resumes the stream, status {status}"));
        }
        if forwarded.is_sealed {
            return self.pass_on(&forwarded.head, &body).await;
        }
        match self.answer.write_full(&forwarded.head, &body).await {
            Ok(()) => RequestEnd::passed_error(status),
            Err(_gone) => RequestEnd::caller_gone(),
        }
    }

    /// Relays the events of a stream that comes through a peer as they arrive.
    async fn relay_from_peer(
        &mut self,
        forward: &Forward<'_>,
        mut forwarded: ForwardedHead<'_>,
    ) -> Result<PeerStreamEnd, TargetFault> {
        let head = forwarded.head.clone();
        let mut decoder = BodyDecoder::new(head.framing);
        let mut has_begun = false;
        loop {
            let progress = self
                .receive_from_peer(forward, &mut forwarded, &mut decoder)
                .await?;
            let is_stream = has_begun || head.is_event_stream() != Some(false);
            let events = self.take_events(progress, is_stream)?;
            if !events.is_empty() {
                has_begun = true;
                self.record_arrival(self.state.now());
                if self.deliver(&head, &events).await.is_err() {
                    return Ok(PeerStreamEnd::CallerGone);
                }
            }
            if progress == BodyProgress::Complete {
                self.check_end(&head, has_begun)?;
                if self.finish(&head).await.is_err() {
                    return Ok(PeerStreamEnd::CallerGone);
                }
                forwarded.keep_connection(self.state);
                return Ok(PeerStreamEnd::Complete);
            }
        }
    }

    async fn receive_from_peer(
        &mut self,
        forward: &Forward<'_>,
        forwarded: &mut ForwardedHead<'_>,
        decoder: &mut BodyDecoder,
    ) -> Result<BodyProgress, TargetFault> {
        let peer = *forwarded.guard.peer();
        let may_move = self.splitter.is_resumable();
        let more = forwarded.connection.body(decoder, self.splitter.buffer());
        let gone = async {
            if !may_move {
                return pending().await;
            }
            forward.until_peer_is_replaceable(&peer, self.runs).await;
        };
        pin_mut!(more, gone);
        match select(more, gone).await {
            Either::Left((progress, _)) => progress,
            Either::Right(((), _)) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
        }
    }
}
