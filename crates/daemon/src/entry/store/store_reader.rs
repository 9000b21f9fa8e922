//! Reads and watches the store, or follows relays while their status is fresh.

use {
    super::{
        full_read::FullRead,
        intake::Intake,
        store_calls::{CallKind, ReadFault, StoreCalls},
        store_pace::{StorePace, Turn},
    },
    crate::entry::{decision_line::Decision, entry_state::EntryState},
    futures::{FutureExt, pin_mut, select},
    std::{convert::Infallible, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::{RangePage, WatchEvents, read_range, read_watch, watch_request},
    whinlatch_serving::{Serving, targets::TargetChange},
};

/// Time after which the store answers a watch without changes, in ms. A connection that has gone silent is
/// detected after this and [`ANSWER_TIMEOUT_MS`], well within the two seconds within which a leaving target
/// must get no more requests.
const WATCH_TIMEOUT_MS: u64 = 900;
/// Time between two checks whether peers know a later revision, in ms.
const LAG_CHECK_INTERVAL_MS: u64 = 200;
/// Timeout for an answer of the store, in ms: a hundred times the usual duration.
const ANSWER_TIMEOUT_MS: u64 = 400;
/// Timeout for a page, in ms. A page takes some 16 ms, and the store may be sixty times as slow as usual.
const PAGE_TIMEOUT_MS: u64 = 1_000;
/// The same while an instance starts, in ms. It is shorter since callers wait, and a store that fell silent on a
/// connection answers on a new one as soon as it is back.
const STARTING_PAGE_TIMEOUT_MS: u64 = 400;
/// Status of a watch from a revision whose history the store no longer has.
const GONE: u16 = 410;

/// Keeps the published state up to date, forever.
pub async fn read_store(state: Arc<EntryState>) {
    let mut reader = StoreReader::new(&state);
    reader.pace.wait_for_peers().await;
    loop {
        let fault = match reader.read_until_failure().await {
            Ok(never) => match never {},
            Err(fault) => fault,
        };
        reader.on_failure(&fault);
        let is_unreachable = matches!(fault, ReadFault::Connect(_) | ReadFault::Silent);
        let is_starting = is_unreachable && reader.calls.is_starting();
        reader.pace.wait_after_failure(is_starting).await;
    }
}

/// Reason for a call to the store, a label in metrics.
#[derive(Debug, Clone, Copy)]
enum Reason {
    /// The instance has no state yet.
    Start,
    /// This instance watches the store, for itself or for followers too.
    Watch,
    /// The relays are silent.
    StandIn,
    /// A call failed or peers know a later revision: the changes so far are requested, and the store answers
    /// without waiting for new ones.
    Recheck,
    /// The store no longer has the history, or an answer couldn't be read, so all is read again.
    Reread,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Watch => "watch",
            Self::StandIn => "stand_in",
            Self::Recheck => "recheck",
            Self::Reread => "anew",
        }
    }
}

struct StoreReader<'a> {
    state: &'a EntryState,
    calls: StoreCalls<'a>,
    intake: Intake<'a>,
    /// When the first call failed since the store last answered; `None` while it answers.
    lost_since: Option<MonoMs>,
    /// Full read that a failed call interrupted; the next call continues it.
    full_read: Option<FullRead>,
    /// Whether a watch can't continue from the known revision.
    needs_full_read: bool,
    /// Whether peers know a later revision than the watch returned, so that the changes are requested again.
    needs_recheck: bool,
    /// Duration of the store's last answer to a page, in ms; 0 after a failure.
    last_page_ms: u64,
    pace: StorePace<'a>,
}

impl<'a> StoreReader<'a> {
    fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            calls: StoreCalls::new(state),
            intake: Intake::new(state),
            lost_since: None,
            full_read: None,
            needs_full_read: false,
            needs_recheck: false,
            last_page_ms: 0,
            pace: StorePace::new(state),
        }
    }

    /// Reads everything once and then each change, until a call fails.
    ///
    /// The state read so far is kept when a call fails. Hundreds of instances that start at the same time use
    /// up the store's quota of calls, and if each refusal made them begin again, none would ever finish; and
    /// all would read everything again after each short outage of the store.
    async fn read_until_failure(&mut self) -> Result<Infallible, ReadFault> {
        loop {
            match self.pace.next_turn().await {
                Turn::Call => {}
                Turn::Recheck => continue,
                Turn::Follow => {
                    // The relay has sent its whole state, from which a watch can continue.
                    self.needs_full_read = false;
                    continue;
                }
            }
            let known_to = self.state.serving().complete_revision();
            if let Some(revision) = known_to.filter(|_| !self.needs_full_read) {
                let revision = self.read_changes(revision).await?;
                self.mark_complete(revision);
                self.pace.wait_between_watches().await;
            } else {
                self.read_all().await?;
            }
        }
    }

    fn mark_complete(&self, revision: u64) {
        let now = self.state.now();
        self.state.serving().mark_complete_at(now, revision);
    }

    /// Reads all that operators and targets publish, unless relays send it first.
    async fn read_all(&mut self) -> Result<(), ReadFault> {
        let mut full_read = self.full_read.take().unwrap_or_else(FullRead::new);
        let revision = loop {
            let (kind, request) = full_read.next_request();
            let page = match self.range(kind, &request).await {
                Ok(page) => page,
                Err(fault) => {
                    self.full_read = Some(full_read);
                    return Err(fault);
                }
            };
            let read = self.intake.apply_operators_changes(page.changes);
            full_read.published.targets.extend(read.targets);
            full_read.published.evacuations.extend(read.evacuations);
            let revision = *full_read.revision.get_or_insert(page.revision);
            let is_first_page = full_read.is_at_first_targets();
            if full_read.advance(page.next_after) {
                break revision;
            }
            if self.is_completed_by_relays(is_first_page, &full_read).await {
                self.needs_full_read = false;
                return Ok(());
            }
        };
        self.needs_full_read = false;
        self.intake.apply_full_read(revision, full_read.published);
        self.mark_complete(revision);
        Ok(())
    }

    /// Gives the relays time to send the rest of a first read: while the store is congested, and once the first page of
    /// targets suffices to serve. Returns whether they have.
    async fn is_completed_by_relays(&mut self, is_first_page: bool, read: &FullRead) -> bool {
        if self.state.was_ready() {
            return false;
        }
        let pause_ms = self.state.serving().congestion_pause_ms(self.last_page_ms);
        if self.pace.wait_for_relays(pause_ms).await {
            return true;
        }
        let Some(patience_ms) = self.begin_with_part(is_first_page, &read.published.targets) else {
            return false;
        };
        self.pace.wait_for_relays(patience_ms).await
    }

    /// Begins to serve with the first page of targets, if they suffice. Returns how long to wait for the rest.
    fn begin_with_part(&self, is_first_page: bool, targets: &[TargetChange]) -> Option<u64> {
        let now = self.state.now();
        let patience_ms = {
            let mut serving = self.state.serving();
            if !is_first_page || !serving.may_interrupt_first_read(targets) {
                return None;
            }
            serving.begin_with_targets(now, targets);
            serving.rest_patience_ms()
        };
        self.state.notify_if_ready();
        Some(patience_ms)
    }

    async fn range(&mut self, kind: CallKind, target: &str) -> Result<RangePage, ReadFault> {
        let page_ms = if self.calls.is_starting() {
            STARTING_PAGE_TIMEOUT_MS
        } else {
            PAGE_TIMEOUT_MS
        };
        let reason = if self.needs_full_read {
            Reason::Reread
        } else {
            Reason::Start
        };
        let timeout_ms = Serving::call_timeout_ms(page_ms, self.last_page_ms);
        let began = self.state.now();
        self.last_page_ms = 0;
        let body = self.get(kind, reason, target, timeout_ms).await?;
        self.last_page_ms = self.state.now().since(began);
        Ok(read_range(&body)?)
    }

    /// Applies the changes since a revision, including those during the watch. Returns the revision from which
    /// to continue.
    ///
    /// After a failure, the changes so far are requested first, which the store answers immediately. Guards
    /// against a watch that hangs while the store is back: expired entries are only removed some time after
    /// the store answers again, and a target that has left would get requests until then.
    async fn read_changes(&mut self, revision: u64) -> Result<u64, ReadFault> {
        let is_recheck = self.lost_since.is_some() || self.needs_recheck;
        let (reason, watch_ms) = match (is_recheck, self.pace.stands_in()) {
            (true, _) => (Reason::Recheck, 0),
            (false, true) => (Reason::StandIn, WATCH_TIMEOUT_MS),
            (false, false) => (Reason::Watch, WATCH_TIMEOUT_MS),
        };
        let target = watch_request(revision, watch_ms);
        let state = self.state;
        let body = {
            let timeout_ms = watch_ms + ANSWER_TIMEOUT_MS;
            let watched = self
                .get(CallKind::Watch, reason, &target, timeout_ms)
                .fuse();
            let lagging = until_lagging(state).fuse();
            pin_mut!(watched, lagging);
            select! {
                body = watched => body?,
                () = lagging => return Err(ReadFault::Lagging),
            }
        };
        let WatchEvents { changes, revision } = read_watch(&body)?;
        self.intake.apply(changes);
        self.finish_recheck();
        Ok(revision)
    }

    /// Ends a recheck: a full read follows only if peers still know a later revision after it.
    fn finish_recheck(&mut self) {
        if std::mem::take(&mut self.needs_recheck) {
            let now = self.state.now();
            self.needs_full_read = self.state.serving().is_lagging(now);
        }
    }

    async fn get(
        &mut self,
        kind: CallKind,
        reason: Reason,
        target: &str,
        timeout_ms: u64,
    ) -> Result<Vec<u8>, ReadFault> {
        self.state
            .metrics
            .record_store_call(kind.name(), reason.name());
        let body = self.calls.get(target, timeout_ms).await?;
        self.on_answer();
        Ok(body)
    }

    fn on_answer(&mut self) {
        self.pace.record_success();
        let now = self.state.now();
        self.state.serving().record_store_answer(now);
        if let Some(lost_since) = self.lost_since.take() {
            let away_ms = now.since(lost_since);
            self.state.log(&Decision::StoreRegained { away_ms });
        }
    }

    fn on_failure(&mut self, fault: &ReadFault) {
        self.state.metrics.record_store_failure();
        self.pace.record_failure();
        match fault {
            ReadFault::Content(fault) => {
                self.needs_full_read = true;
                let fault = fault.to_string();
                self.state.log(&Decision::Unreadable { fault });
            }
            // The store answers; only the history is gone, or this watch doesn't return what peers know.
            ReadFault::Status(GONE) => self.needs_full_read = true,
            ReadFault::Lagging => self.needs_recheck = true,
            ReadFault::Connect(_)
            | ReadFault::Silent
            | ReadFault::Status(_)
            | ReadFault::Connection(_) => self.record_store_lost(fault),
        }
    }

    fn record_store_lost(&mut self, fault: &ReadFault) {
        let now = self.state.now();
        self.state.serving().record_store_failure(now);
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            let fault = fault.to_string();
            self.state.log(&Decision::StoreLost { fault });
        }
    }
}

/// Completes when peers have known a later revision than this instance for a while.
async fn until_lagging(state: &EntryState) {
    loop {
        state.clock.sleep(LAG_CHECK_INTERVAL_MS).await;
        if state.serving().is_lagging(state.now()) {
            return;
        }
    }
}
