//! Relays the events of one attempt to the caller.

use {
    super::{
        attempt::AttemptFault,
        http::{BodyDecoder, BodyProgress, Framing, ResponseHead},
        silence::SilenceKind,
        stream_relay::{MAX_EVENT_PAUSE_MS, Relay, RunningAttempt, StreamEnd},
        target_connection::{TargetConnection, TargetFault},
    },
    std::io,
    whinlatch_core::MonoMs,
    whinlatch_serving::{PromptPlacement, SOUND_EVENTS},
};

impl Relay<'_> {
    /// Relays the events of an attempt as they arrive.
    pub(super) async fn relay(
        &mut self,
        attempt: &RunningAttempt<'_>,
        mut connection: TargetConnection,
        head: ResponseHead,
    ) -> Result<StreamEnd, AttemptFault> {
        let placement = attempt.placement;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut has_begun = false;
        loop {
            let due = if has_begun {
                let by = self.state.now() + MAX_EVENT_PAUSE_MS;
                (by, SilenceKind::NextEvent)
            } else {
                (attempt.first_event_by, SilenceKind::FirstEvent)
            };
            let progress = self
                .receive(attempt, &mut connection, &mut decoder, due)
                .await?;
            let is_stream = has_begun || head.is_event_stream() != Some(false);
            let events = self.take_events(progress, is_stream)?;
            if !events.is_empty() {
                self.record_event(placement, !std::mem::replace(&mut has_begun, true));
                if self.deliver(&head, &events).await.is_err() {
                    return Ok(StreamEnd::CallerGone);
                }
            }
            if progress == BodyProgress::Complete {
                self.check_end(&head, has_begun)?;
                if self.finish(&head).await.is_err() {
                    return Ok(StreamEnd::CallerGone);
                }
                self.return_to_pool(placement, connection, &head);
                return Ok(StreamEnd::Complete(head));
            }
        }
    }

    /// Receives more of the stream. Fails if the engine is silent, with regard to the time by which more is `due`, and
    /// the prompt can go on elsewhere.
    async fn receive(
        &mut self,
        attempt: &RunningAttempt<'_>,
        connection: &mut TargetConnection,
        decoder: &mut BodyDecoder,
        due: (MonoMs, SilenceKind),
    ) -> Result<BodyProgress, AttemptFault> {
        let watch = self.silence_watch(attempt, due);
        let more = connection.body(decoder, self.splitter.buffer());
        let progress = match watch.unless_replaced(more).await {
            Ok(progress) => progress?,
            Err(replacement) => return Err(self.accept_replacement(replacement)),
        };
        attempt.life.record_answer(self.state.now());
        Ok(progress)
    }

    /// Takes the complete events, and at the end of a complete stream also what follows them. Of an answer that
    /// declares another type and has no event, takes all.
    ///
    /// # Errors
    /// [`TargetFault::TooLarge`] if no event ends where each would have, [`TargetFault::BegunAnew`] if the caller has
    /// the first event.
    pub(super) fn take_events(
        &mut self,
        progress: BodyProgress,
        is_stream: bool,
    ) -> Result<Vec<u8>, TargetFault> {
        let complete = self.splitter.take_complete()?;
        // What was taken has to be passed on first.
        if complete.is_none() && self.splitter.is_overfull() {
            return Err(TargetFault::TooLarge("events"));
        }
        let mut events = complete.unwrap_or_default();
        if progress == BodyProgress::More {
            return Ok(events);
        }
        let ends_inside_event = is_stream && self.splitter.partial_event_bytes() > 0;
        if !ends_inside_event {
            events.extend(self.splitter.take_rest());
        }
        Ok(events)
    }

    /// Checks that a stream whose body is complete by its framing wasn't broken off.
    pub(super) fn check_end(
        &self,
        head: &ResponseHead,
        has_begun: bool,
    ) -> Result<(), TargetFault> {
        if self.splitter.partial_event_bytes() > 0 {
            return Err(TargetFault::InsideEvent);
        }
        if head.ends_without_sign(!has_begun) {
            return Err(TargetFault::Closed);
        }
        Ok(())
    }

    fn return_to_pool(
        &self,
        placement: &PromptPlacement,
        connection: TargetConnection,
        head: &ResponseHead,
    ) {
        if head.keeps_alive {
            let now = self.state.now();
            let address = placement.engine.address;
            self.state
                .pool
                .put(now, address, connection, head.keep_alive_ms);
        }
    }

    /// Records events that arrived; `is_first` if they are the first ones of this attempt.
    fn record_event(&mut self, placement: &PromptPlacement, is_first: bool) {
        let now = self.state.now();
        {
            let mut serving = self.state.serving();
            if is_first {
                serving.record_first_event(now, placement.job);
            }
            serving.record_stream_event(now, &placement.engine);
            if self.attempt_events() >= SOUND_EVENTS {
                serving.record_sound_parts(now, &self.context.caller.shared_parts);
            }
        }
        self.record_arrival(now);
    }

    /// Records when events arrived, for the log and the metrics.
    pub(super) fn record_arrival(&mut self, now: MonoMs) {
        if self.first_event_at.is_some() {
            self.answer.record_pause(now.since(self.last_event_at));
        } else {
            self.first_event_at = Some(now);
            let took_ms = now.since(self.context.arrived);
            self.state.metrics.record_first_event(took_ms);
            self.answer.record_first_event(took_ms);
        }
        self.last_event_at = now;
    }

    pub(super) async fn deliver(&self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        if self.answer.has_begun() {
            self.answer.events(events).await
        } else {
            self.answer.begin(head, events).await
        }
    }

    /// Ends the answer. One without a body has no chunks: they would be read as the begin of the next answer.
    pub(super) async fn finish(&self, head: &ResponseHead) -> io::Result<()> {
        if !self.answer.has_begun() && head.framing == Framing::Empty {
            return self.answer.write_full(head, &[]).await;
        }
        if !self.answer.has_begun() {
            self.answer.begin(head, &[]).await?;
        }
        self.answer.end().await
    }
}
