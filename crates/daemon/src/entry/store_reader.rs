//! Reads the store and watches it, on one connection after the other.

use {
    super::{
        decision_line::Decision,
        entry_state::EntryState,
        target_connection::{TargetConnection, TargetFault},
        unreadable_lines::UnreadableLines,
    },
    crate::{clock::timeout, targets::connect_within},
    futures::{FutureExt, pin_mut, select},
    std::{convert::Infallible, io, sync::Arc, time::Duration},
    thiserror::Error,
    whinlatch_core::MonoMs,
    whinlatch_platform::{
        Change, History, RangePage, StoreFault, key_request, range_request, read_range, read_watch,
        watch_request,
    },
    whinlatch_serving::targets::{TargetChange, TargetState},
};

/// Time that a watch waits for news, in ms. A connection that has gone silent is noticed after
/// this and [`ANSWER_MS`], well within the two seconds in which a leaving target is to be left
/// alone.
const WATCH_MS: u64 = 900;
/// Time that a watch of an instance of a large fleet waits for news, in ms, unless it is one of
/// those that watch closely for all: their heartbeats tell the others when a watch of theirs has
/// gone silent. Each watch is a call, and the store's calls don't grow with the fleet.
const LONG_WATCH_MS: u64 = 8_000;
/// Time between two watches, in ms: targets that start or are replaced write one after the other,
/// and each change by itself would cost a call.
const GATHER_MS: u64 = 50;
/// The same for an instance of a large fleet that doesn't watch closely for all, in ms. It stays
/// well below the two seconds in which a leaving target is to be left alone.
const LONG_GATHER_MS: u64 = 250;
/// Time between two looks whether peers know more, in ms.
const BEHIND_LOOK_MS: u64 = 200;
/// Time for an answer of the store, in ms: a hundred times the usual one.
const ANSWER_MS: u64 = 400;
/// Time for a whole page, in ms: the store may be sixty times as slow as usual.
const PAGE_MS: u64 = 1_000;
/// Time between two tries while the store doesn't answer, in ms.
const RETRY_MS: u64 = 150;
/// Time between two tries of an instance that starts, and knows nothing yet, to reach a store that
/// doesn't take its connections, in ms: callers wait meanwhile, and nothing of that is a call.
const STARTING_RETRY_MS: u64 = 40;
/// Time for a connection to the store then, in ms. A first packet that is dropped is sent again only
/// after a second.
const STARTING_CONNECT_MS: u64 = 120;
/// Time for a whole page then, in ms: the store may be over eighty times as slow as usual, and one that
/// took a connection and fell silent answers on another as soon as it is back.
const STARTING_PAGE_MS: u64 = 400;
/// Time that bytes sent to the store may stay without an acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);
/// Characters of a line on something unreadable: others may write entries of a megabyte, and the
/// reason of a fault repeats a part of them.
const MOST_FAULT_CHARS: usize = 400;
/// Status of a watch whose history is gone.
const GONE: u16 = 410;

/// Why the store's answer can't be had.
#[derive(Debug, Error)]
enum ReadFault {
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("peers know more than the watch told")]
    Behind,
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Connection(#[from] TargetFault),
    #[error("{0}")]
    Content(#[from] StoreFault),
}

/// Keeps what is published up to date, for ever.
pub async fn read_store(state: Arc<EntryState>) {
    let mut reader = StoreReader {
        state: &state,
        connection: None,
        lost_at: None,
        reading: None,
        watched: None,
        unreadable: UnreadableLines::default(),
    };
    loop {
        let fault = match reader.follow().await {
            Ok(never) => match never {},
            Err(fault) => fault,
        };
        reader.failed(&fault);
        let is_out_of_reach = matches!(fault, ReadFault::Connect(_) | ReadFault::Silent);
        let pause_ms = if is_out_of_reach && reader.is_starting() {
            STARTING_RETRY_MS
        } else {
            RETRY_MS
        };
        let jitter_ms = fastrand::u64(..pause_ms);
        state.clock.sleep(pause_ms + jitter_ms).await;
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
    connection: Option<TargetConnection>,
    lost_at: Option<MonoMs>,
    /// What a reading of all that is published has so far.
    reading: Option<Reading>,
    /// Revision up to which all changes are known here.
    watched: Option<u64>,
    /// Lines that were written on what can't be read.
    unreadable: UnreadableLines,
}

impl StoreReader<'_> {
    /// Reads what isn't known yet, and then each change, until that fails.
    ///
    /// What was read is kept when a call fails: hundreds of instances that start at once use up the
    /// store's calls, and would begin anew at each refusal for good; and all would read everything
    /// again after each short trouble of the store.
    async fn follow(&mut self) -> Result<Infallible, ReadFault> {
        let mut revision = match self.watched {
            Some(revision) => revision,
            None => self.read_all().await?,
        };
        loop {
            self.watched = Some(revision);
            let history = self.history(revision).await?;
            revision = revision.max(history.revision);
            self.apply(history.changes);
            self.gather().await;
        }
    }

    /// Whether the instance started a moment ago and knows nothing yet.
    fn is_starting(&self) -> bool {
        self.state.is_starting() && !self.state.serving().is_ready()
    }

    /// Reads all that is published. Returns the revision from which a watch goes on.
    async fn read_all(&mut self) -> Result<u64, ReadFault> {
        let mut reading = match self.reading.take() {
            Some(reading) => reading,
            None => self.begin_reading().await?,
        };
        loop {
            let request = range_request(reading.after.as_deref());
            let page = match self.range(&request).await {
                Ok(page) => page,
                Err(fault) => {
                    self.reading = Some(reading);
                    return Err(fault);
                }
            };
            reading
                .targets
                .extend(self.apply_configurations(page.changes));
            reading.after = page.next_after;
            if reading.after.is_none() {
                break;
            }
        }
        let now = self.state.now();
        self.state
            .serving()
            .targets_published(now, reading.revision, reading.targets);
        self.state.note_published();
        Ok(reading.revision)
    }

    async fn begin_reading(&mut self) -> Result<Reading, ReadFault> {
        let page = self.range(&key_request()).await?;
        self.apply(page.changes);
        Ok(Reading {
            revision: page.revision,
            targets: Vec::new(),
            after: None,
        })
    }

    /// Lets changes that follow each other closely gather, so that one call brings them all.
    async fn gather(&self) {
        let gather_ms = if self.state.serving().watches_closely() {
            GATHER_MS
        } else {
            LONG_GATHER_MS
        };
        self.state.clock.sleep(gather_ms).await;
    }

    async fn range(&mut self, target: &str) -> Result<RangePage, ReadFault> {
        let page_ms = if self.is_starting() {
            STARTING_PAGE_MS
        } else {
            PAGE_MS
        };
        let body = self.get(target, page_ms).await?;
        Ok(read_range(&body)?)
    }

    /// What has happened since a revision, or happens within the time of a watch.
    ///
    /// Guards against a store that is back while a watch that was sent before waits for good: after a
    /// trouble, what happened so far is asked for first, which is answered at once. Entries that lapse
    /// are given time from the moment at which the store answers, and one that has left would get
    /// requests for as long.
    async fn history(&mut self, revision: u64) -> Result<History, ReadFault> {
        let watch_ms = if self.lost_at.is_some() {
            0
        } else if self.state.serving().watches_closely() {
            WATCH_MS
        } else {
            LONG_WATCH_MS
        };
        let target = watch_request(revision, watch_ms);
        let state = self.state;
        let body = {
            let watched = self.get(&target, watch_ms + ANSWER_MS).fuse();
            let behind = until_behind(state).fuse();
            pin_mut!(watched, behind);
            select! {
                body = watched => body?,
                () = behind => return Err(ReadFault::Behind),
            }
        };
        Ok(read_watch(&body)?)
    }

    /// A call. A connection on which anything goes wrong isn't used again.
    async fn get(&mut self, target: &str, within_ms: u64) -> Result<Vec<u8>, ReadFault> {
        let clock = self.state.clock.as_ref();
        let address = self.state.settings.store_address;
        let mut connection = if let Some(connection) = self.connection.take() {
            connection
        } else {
            let connect_ms = if self.is_starting() {
                STARTING_CONNECT_MS
            } else {
                ANSWER_MS
            };
            let opened = connect_within(clock, address, connect_ms, UNACKNOWLEDGED);
            TargetConnection::new(opened.await?)
        };
        let called = call(&mut connection, target, address.to_string());
        let (status, is_kept, body) = timeout(clock, within_ms, called)
            .await
            .ok_or(ReadFault::Silent)??;
        if is_kept && connection.is_reusable() {
            self.connection = Some(connection);
        }
        if status != 200 {
            return Err(ReadFault::Status(status));
        }
        self.answered();
        Ok(body)
    }

    fn answered(&mut self) {
        let now = self.state.now();
        self.state.serving().store_answers(now);
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = now.since(lost_at);
            self.state.log(&Decision::StoreRegained { away_ms });
        }
    }

    fn failed(&mut self, fault: &ReadFault) {
        self.state.metrics.note_store_failure();
        if let ReadFault::Content(fault) = fault {
            self.watched = None;
            let fault = fault.to_string();
            self.state.log(&Decision::Unreadable { fault });
            return;
        }
        // The store is there: it said that a history is gone, or only this watch is out of order.
        if matches!(fault, ReadFault::Status(GONE) | ReadFault::Behind) {
            self.watched = None;
            return;
        }
        self.state.serving().store_failed();
        if self.lost_at.is_none() {
            self.lost_at = Some(self.state.now());
            let fault = fault.to_string();
            self.state.log(&Decision::StoreLost { fault });
        }
    }

    /// Takes in changes one by one.
    fn apply(&mut self, changes: Vec<Result<Change, StoreFault>>) {
        let now = self.state.now();
        for change in self.apply_configurations(changes) {
            let line = target_line(&change);
            if self.state.serving().target_published(now, change) {
                self.state.log(&line);
            }
        }
        self.state.note_published();
    }

    /// Takes in configurations and returns the changes of targets.
    fn apply_configurations(
        &mut self,
        changes: Vec<Result<Change, StoreFault>>,
    ) -> Vec<TargetChange> {
        let mut targets = Vec::new();
        for change in changes {
            match change {
                Ok(Change::Target(change)) => {
                    self.note_unknown_service(&change);
                    targets.push(change);
                }
                Ok(Change::Foreign(change, fault)) => {
                    self.note_unreadable(&fault.to_string());
                    targets.push(change);
                }
                Ok(Change::Configuration(configuration, text)) => {
                    let version = configuration.version;
                    if self.state.serving().put_in_force(*configuration, text) {
                        let source = "store";
                        self.state.log(&Decision::Configured { version, source });
                    }
                }
                Err(fault) => self.note_unreadable(&fault.to_string()),
            }
        }
        targets
    }

    /// Notes a target that is of no service that is published: nobody sends it anything.
    fn note_unknown_service(&mut self, change: &TargetChange) {
        let Some(entry) = &change.entry else {
            return;
        };
        let configuration = self.state.serving().configuration().map(Arc::clone);
        if configuration.is_some_and(|published| published.service(&entry.service).is_none()) {
            let (name, service) = (&change.name, &entry.service);
            let fault = format!("the entry of `{name}`: no service is called `{service}`");
            self.note_unreadable(&fault);
        }
    }

    fn note_unreadable(&mut self, fault: &str) {
        if !self.unreadable.take(self.state.now()) {
            self.state.metrics.note_dropped_log_line();
            return;
        }
        let mut fault = fault.to_owned();
        if let Some((cut, _)) = fault.char_indices().nth(MOST_FAULT_CHARS) {
            fault.truncate(cut);
        }
        self.state.log(&Decision::Unreadable { fault });
    }
}

fn target_line(change: &TargetChange) -> Decision {
    let state = change
        .entry
        .as_ref()
        .map_or("gone", |entry| match entry.state {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        });
    Decision::Target {
        target: change
            .entry
            .as_ref()
            .map_or(&*change.name, |entry| &entry.id)
            .to_owned(),
        state,
        revision: change.revision,
    }
}

/// Ends when peers have known more for a while than this instance.
async fn until_behind(state: &EntryState) {
    loop {
        state.clock.sleep(BEHIND_LOOK_MS).await;
        if state.serving().is_behind(state.now()) {
            return;
        }
    }
}

async fn call(
    connection: &mut TargetConnection,
    target: &str,
    host: String,
) -> Result<(u16, bool, Vec<u8>), TargetFault> {
    let request = format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    let (head, body) = connection.exchange("GET", request.as_bytes()).await?;
    Ok((head.status, head.is_kept, body))
}
