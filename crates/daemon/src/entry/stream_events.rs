//! Events of a stream on their way to its caller.

use {
    super::{
        attempt::AttemptFault,
        entry_state::EntryState,
        http::{BodyDecoder, Progress, ResponseHead},
        stream_relay::{MOST_PAUSE_MS, Relay, StreamEnd},
        target_connection::TargetConnection,
    },
    crate::clock::timeout,
    futures::{
        future::{Either, pending, select},
        pin_mut,
    },
    std::io,
    whinlatch_core::MonoMs,
    whinlatch_serving::{PromptPlacement, targets::TargetEntry},
};

/// Silence of an engine after which it counts whether it can be reached, in ms: over the longest
/// pass that is on time for short streams.
const UNREACHABLE_LOOK_MS: u64 = 700;

impl Relay<'_> {
    /// Passes on the events of an attempt as they come.
    pub(super) async fn relay(
        &mut self,
        place: &PromptPlacement,
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
                .receive(place, &mut connection, &mut decoder, wait_ms)
                .await?;
            let events = self.take_events(progress);
            if !events.is_empty() {
                self.note_event(place, !std::mem::replace(&mut has_begun, true));
                if self.deliver(&head, &events).await.is_err() {
                    return Ok(StreamEnd::CallerGone);
                }
            }
            if progress == Progress::Whole {
                if self.finish(&head).await.is_err() {
                    return Ok(StreamEnd::CallerGone);
                }
                self.keep(place, connection, &head);
                return Ok(StreamEnd::Whole);
            }
        }
    }

    /// Receives more of the stream, unless the engine is silent for too long or out of reach.
    async fn receive(
        &mut self,
        place: &PromptPlacement,
        connection: &mut TargetConnection,
        decoder: &mut BodyDecoder,
        wait_ms: u64,
    ) -> Result<Progress, AttemptFault> {
        let may_move = self.has_another_attempt();
        let more = connection.body(decoder, self.splitter.buffer());
        let awaited = timeout(self.state.clock.as_ref(), wait_ms, more);
        let lost = until_to_move(self.state, &place.engine, may_move);
        pin_mut!(awaited, lost);
        match select(awaited, lost).await {
            Either::Left((progress, _)) => Ok(progress.ok_or(AttemptFault::Silent)??),
            Either::Right(((), _)) => Err(AttemptFault::Silent),
        }
    }

    /// Time for which a further event is awaited, in ms.
    fn next_event_wait_ms(&self) -> u64 {
        if self.has_another_attempt() {
            return MOST_PAUSE_MS;
        }
        self.context.due.since(self.state.now())
    }

    fn take_events(&mut self, progress: Progress) -> Vec<u8> {
        let mut events = self.splitter.take_whole().unwrap_or_default();
        if progress == Progress::Whole {
            events.extend(self.splitter.take_rest().unwrap_or_default());
        }
        events
    }

    fn keep(&self, place: &PromptPlacement, connection: TargetConnection, head: &ResponseHead) {
        if head.is_kept {
            let now = self.state.now();
            let address = place.engine.address;
            self.state.pool.put(now, address, connection, head.keep_ms);
        }
    }

    /// Notes an event; `is_first` if it is the first one of this attempt.
    fn note_event(&mut self, place: &PromptPlacement, is_first: bool) {
        let now = self.state.now();
        {
            let mut serving = self.state.serving();
            if is_first {
                serving.record_first_event(now, place.job);
            }
            serving.record_stream_event(now, &place.engine);
        }
        if self.first_event_at.is_some() {
            self.answer.note_pause(now.since(self.last_event_at));
        } else {
            self.first_event_at = Some(now);
            let took_ms = now.since(self.context.arrived);
            self.state.metrics.note_first_event(took_ms);
            self.answer.note_first_event(took_ms);
        }
        self.last_event_at = now;
    }

    async fn deliver(&self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        if self.answer.has_begun() {
            self.answer.events(events).await
        } else {
            self.answer.begin(head, events).await
        }
    }

    async fn finish(&self, head: &ResponseHead) -> io::Result<()> {
        if !self.answer.has_begun() {
            self.answer.begin(head, &[]).await?;
        }
        self.answer.end().await
    }
}

/// Ends when nothing came from an engine for a while, some instance could not reach it, and another
/// one can take the stream.
///
/// Guards against an engine that has lost power: its open connections stay as they are, and a
/// caller waits for events until it gives up.
async fn until_to_move(state: &EntryState, engine: &TargetEntry, may_move: bool) {
    if !may_move {
        return pending().await;
    }
    loop {
        state.clock.sleep(UNREACHABLE_LOOK_MS).await;
        if state.serving().should_move_stream(state.now(), engine) {
            return;
        }
    }
}
