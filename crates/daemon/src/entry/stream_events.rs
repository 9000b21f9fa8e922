//! Relays the events of one attempt to the caller.

use {
    super::{
        attempt::AttemptFault,
        entry_state::EntryState,
        http::{BodyDecoder, BodyProgress, ResponseHead},
        stream_relay::{MAX_EVENT_PAUSE_MS, Relay, StreamEnd},
        target_connection::{TargetConnection, TargetFault},
    },
    crate::clock::timeout,
    futures::{
        future::{Either, pending, select},
        pin_mut,
    },
    std::io,
    whinlatch_core::MonoMs,
    whinlatch_serving::{PromptPlacement, SOUND_EVENTS, targets::TargetEntry},
};

/// Silence of an engine after which its reachability is checked, in ms. Longer than the longest pass
/// with which short streams are on time.
const UNREACHABLE_CHECK_INTERVAL_MS: u64 = 700;

impl Relay<'_> {
    /// Relays the events of an attempt as they arrive.
    pub(super) async fn relay(
        &mut self,
        placement: &PromptPlacement,
        mut connection: TargetConnection,
        head: ResponseHead,
        first_event_by: MonoMs,
    ) -> Result<StreamEnd, AttemptFault> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut has_begun = false;
        loop {
            let wait_ms = if has_begun {
                self.next_event_wait_ms()
            } else {
                first_event_by.since(self.state.now())
            };
            let progress = self
                .receive(placement, &mut connection, &mut decoder, wait_ms)
                .await?;
            let is_stream = has_begun || head.is_event_stream() != Some(false);
            let events = self.take_events(progress, is_stream);
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

    /// Receives more of the stream. Fails if the engine is silent for `wait_ms`, or unreachable while another
    /// attempt is left.
    async fn receive(
        &mut self,
        placement: &PromptPlacement,
        connection: &mut TargetConnection,
        decoder: &mut BodyDecoder,
        wait_ms: u64,
    ) -> Result<BodyProgress, AttemptFault> {
        let may_move = self.has_another_attempt();
        let more = connection.body(decoder, self.splitter.buffer());
        let awaited = timeout(self.state.clock.as_ref(), wait_ms, more);
        let unreachable = until_stream_should_move(self.state, &placement.engine, may_move);
        pin_mut!(awaited, unreachable);
        match select(awaited, unreachable).await {
            Either::Left((progress, _)) => Ok(progress.ok_or(AttemptFault::Silent)??),
            Either::Right(((), _)) => Err(AttemptFault::Silent),
        }
    }

    /// Timeout for the next event, in ms. Without another attempt left it is the time to the deadline, as for the
    /// first event.
    fn next_event_wait_ms(&self) -> u64 {
        if self.has_another_attempt() {
            return MAX_EVENT_PAUSE_MS;
        }
        self.context.deadline.since(self.state.now())
    }

    /// Takes the complete events, and at the end of a complete stream also what follows them. Of an answer that
    /// declares another type and has no event, takes all.
    pub(super) fn take_events(&mut self, progress: BodyProgress, is_stream: bool) -> Vec<u8> {
        let mut events = self.splitter.take_complete().unwrap_or_default();
        let ends_inside_event = is_stream && self.splitter.partial_event_bytes() > 0;
        if progress == BodyProgress::Complete && !ends_inside_event {
            events.extend(self.splitter.take_rest());
        }
        events
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

    pub(super) async fn finish(&self, head: &ResponseHead) -> io::Result<()> {
        if !self.answer.has_begun() {
            self.answer.begin(head, &[]).await?;
        }
        self.answer.end().await
    }
}

/// Completes when an engine has been silent for a while, some instance couldn't reach it, and another engine
/// can take the stream. Never completes unless `may_move`.
///
/// Guards against an engine that has lost power: its open connections never break, so the caller
/// would wait for events until its deadline.
async fn until_stream_should_move(state: &EntryState, engine: &TargetEntry, may_move: bool) {
    if !may_move {
        return pending().await;
    }
    loop {
        state.clock.sleep(UNREACHABLE_CHECK_INTERVAL_MS).await;
        if state.serving().should_move_stream(state.now(), engine) {
            return;
        }
    }
}
