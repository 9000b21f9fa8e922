//! Reads the store and watches it, or leaves that to relays while their word is fresh.

use {
    super::{
        intake::Intake,
        store_calls::{CallKind, ReadFault, StoreCalls},
        store_pace::{StorePace, Turn},
    },
    crate::entry::{decision_line::Decision, entry_state::EntryState},
    futures::{FutureExt, pin_mut, select},
    std::{convert::Infallible, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::{
        RangePage, WatchEvents, configuration_request, range_request, read_range, read_watch,
        watch_request,
    },
    whinlatch_serving::targets::TargetChange,
};

/// Time that a watch waits for news, in ms. A connection that has gone silent is noticed after
/// this and [`ANSWER_MS`], well within the two seconds in which a leaving target is to be left
/// alone.
const WATCH_MS: u64 = 900;
/// Time between two looks whether peers know more, in ms.
const BEHIND_LOOK_MS: u64 = 200;
/// Time for an answer of the store, in ms: a hundred times the usual one.
const ANSWER_MS: u64 = 400;
/// Time for a whole page, in ms: the store may be sixty times as slow as usual.
const PAGE_MS: u64 = 1_000;
/// Time for a whole page then, in ms: the store may be over eighty times as slow as usual, and one that
/// took a connection and fell silent answers on another as soon as it is back.
const STARTING_PAGE_MS: u64 = 400;
/// Status of a watch whose history is gone.
const GONE: u16 = 410;

/// Keeps what is published up to date, for ever.
pub async fn read_store(state: Arc<EntryState>) {
    let mut reader = StoreReader::new(&state);
    reader.pace.wait_to_be_told().await;
    loop {
        let fault = match reader.follow().await {
            Ok(never) => match never {},
            Err(fault) => fault,
        };
        reader.failed(&fault);
        let is_out_of_reach = matches!(fault, ReadFault::Connect(_) | ReadFault::Silent);
        let is_starting = is_out_of_reach && reader.calls.is_starting();
        reader.pace.pause(is_starting).await;
    }
}

/// Why the store is asked, as metrics tell it.
#[derive(Debug, Clone, Copy)]
enum Reason {
    /// Nothing is known yet.
    Start,
    /// This instance watches, for itself or for others too.
    Watch,
    /// The relays are silent.
    StandIn,
    /// Something failed, and what happened meanwhile is asked for.
    Recheck,
    /// The store forgot the history, or told something that can't be read.
    Anew,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Watch => "watch",
            Self::StandIn => "stand_in",
            Self::Recheck => "recheck",
            Self::Anew => "anew",
        }
    }
}

/// Pages that were read so far. They aren't a snapshot: what is missing is missing as of the first
/// one's revision.
struct Reading {
    revision: u64,
    targets: Vec<TargetChange>,
    after: Option<String>,
}

struct StoreReader<'a> {
    state: &'a EntryState,
    calls: StoreCalls<'a>,
    intake: Intake<'a>,
    lost_at: Option<MonoMs>,
    /// What a reading of all that is published has so far.
    reading: Option<Reading>,
    /// Whether what is known can't be gone on from.
    reads_anew: bool,
    /// Whether peers knew more than the watch told, so that it is asked again what happened.
    is_doubtful: bool,
    pace: StorePace<'a>,
}

impl<'a> StoreReader<'a> {
    fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            calls: StoreCalls::new(state),
            intake: Intake::new(state),
            lost_at: None,
            reading: None,
            reads_anew: false,
            is_doubtful: false,
            pace: StorePace::new(state),
        }
    }

    /// Reads what isn't known yet, and then each change, until that fails.
    ///
    /// What was read is kept when a call fails: hundreds of instances that start at once use up the
    /// store's calls, and would begin anew at each refusal for good; and all would read everything
    /// again after each short trouble of the store.
    async fn follow(&mut self) -> Result<Infallible, ReadFault> {
        loop {
            match self.pace.turn().await {
                Turn::Ask => {}
                Turn::Wait => continue,
                Turn::Told => {
                    // The relay has told all that it knew, whatever couldn't be gone on from here.
                    self.reads_anew = false;
                    continue;
                }
            }
            let known_to = self.state.serving().complete_revision();
            if let Some(revision) = known_to.filter(|_| !self.reads_anew) {
                let revision = self.read_changes(revision).await?;
                self.told(revision);
                self.pace.gather().await;
            } else {
                let revision = self.read_all().await?;
                self.told(revision);
            }
        }
    }

    fn told(&self, revision: u64) {
        let now = self.state.now();
        self.state.serving().mark_complete_at(now, revision);
    }

    /// Reads all that is published. Returns the revision from which a watch goes on.
    async fn read_all(&mut self) -> Result<u64, ReadFault> {
        let mut reading = match self.reading.take() {
            Some(reading) => reading,
            None => self.begin_reading().await?,
        };
        loop {
            let request = range_request(reading.after.as_deref());
            let page = match self.range(CallKind::Page, &request).await {
                Ok(page) => page,
                Err(fault) => {
                    self.reading = Some(reading);
                    return Err(fault);
                }
            };
            reading
                .targets
                .extend(self.intake.apply_configurations(page.changes));
            reading.after = page.next_after;
            if reading.after.is_none() {
                break;
            }
        }
        self.reads_anew = false;
        let now = self.state.now();
        self.state
            .serving()
            .apply_store_snapshot(now, reading.revision, reading.targets);
        self.state.note_published();
        Ok(reading.revision)
    }

    async fn begin_reading(&mut self) -> Result<Reading, ReadFault> {
        let page = self
            .range(CallKind::Configuration, &configuration_request())
            .await?;
        self.intake.apply(page.changes);
        Ok(Reading {
            revision: page.revision,
            targets: Vec::new(),
            after: None,
        })
    }

    async fn range(&mut self, kind: CallKind, target: &str) -> Result<RangePage, ReadFault> {
        let page_ms = if self.calls.is_starting() {
            STARTING_PAGE_MS
        } else {
            PAGE_MS
        };
        let reason = if self.reads_anew {
            Reason::Anew
        } else {
            Reason::Start
        };
        let body = self.get(kind, reason, target, page_ms).await?;
        Ok(read_range(&body)?)
    }

    /// Takes in what has happened since a revision, or happens within the time of a watch. Returns the
    /// revision from which to go on.
    ///
    /// Guards against a store that is back while a watch that was sent before waits for good: after a
    /// trouble, what happened so far is asked for first, which is answered at once. Entries that lapse
    /// are given time from the moment at which the store answers, and one that has left would get
    /// requests for as long.
    async fn read_changes(&mut self, revision: u64) -> Result<u64, ReadFault> {
        let is_recheck = self.lost_at.is_some() || self.is_doubtful;
        let (reason, watch_ms) = match (is_recheck, self.pace.stands_in()) {
            (true, _) => (Reason::Recheck, 0),
            (false, true) => (Reason::StandIn, WATCH_MS),
            (false, false) => (Reason::Watch, WATCH_MS),
        };
        let target = watch_request(revision, watch_ms);
        let state = self.state;
        let body = {
            let within_ms = watch_ms + ANSWER_MS;
            let watched = self.get(CallKind::Watch, reason, &target, within_ms).fuse();
            let behind = until_behind(state).fuse();
            pin_mut!(watched, behind);
            select! {
                body = watched => body?,
                () = behind => return Err(ReadFault::Behind),
            }
        };
        let WatchEvents { changes, revision } = read_watch(&body)?;
        self.intake.apply(changes);
        self.note_rechecked();
        Ok(revision)
    }

    /// What a watch didn't tell is read anew only if the store, asked once more, doesn't tell it either.
    fn note_rechecked(&mut self) {
        if std::mem::take(&mut self.is_doubtful) {
            let now = self.state.now();
            self.reads_anew = self.state.serving().is_lagging(now);
        }
    }

    async fn get(
        &mut self,
        kind: CallKind,
        reason: Reason,
        target: &str,
        within_ms: u64,
    ) -> Result<Vec<u8>, ReadFault> {
        self.state
            .metrics
            .note_store_call(kind.name(), reason.name());
        let body = self.calls.get(target, within_ms).await?;
        self.answered();
        Ok(body)
    }

    fn answered(&mut self) {
        self.pace.succeeded();
        let now = self.state.now();
        self.state.serving().record_store_answer(now);
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = now.since(lost_at);
            self.state.log(&Decision::StoreRegained { away_ms });
        }
    }

    fn failed(&mut self, fault: &ReadFault) {
        self.state.metrics.note_store_failure();
        self.pace.failed();
        match fault {
            ReadFault::Content(fault) => {
                self.reads_anew = true;
                let fault = fault.to_string();
                self.state.log(&Decision::Unreadable { fault });
            }
            // The store is there: it said that a history is gone, or only this watch is out of order.
            ReadFault::Status(GONE) => self.reads_anew = true,
            ReadFault::Behind => self.is_doubtful = true,
            ReadFault::Connect(_)
            | ReadFault::Silent
            | ReadFault::Status(_)
            | ReadFault::Connection(_) => self.lost(fault),
        }
    }

    fn lost(&mut self, fault: &ReadFault) {
        let now = self.state.now();
        self.state.serving().record_store_failure(now);
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            let fault = fault.to_string();
            self.state.log(&Decision::StoreLost { fault });
        }
    }
}

/// Ends when peers have known more for a while than this instance.
async fn until_behind(state: &EntryState) {
    loop {
        state.clock.sleep(BEHIND_LOOK_MS).await;
        if state.serving().is_lagging(state.now()) {
            return;
        }
    }
}
