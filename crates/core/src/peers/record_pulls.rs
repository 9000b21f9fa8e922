use {
    crate::time::MonoMs,
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_wire::{ids::Incarnation, peer::RecordSummary},
};

/// Time without progress after which a pull is given up, in ms.
const PULL_TIMEOUT_MS: u64 = 3_000;
/// Maximum number of keys in one request.
const MAX_KEYS_PER_REQUEST: usize = 4_096;

/// Pulls of records from peers. A daemon runs one pull at a time: otherwise a starting daemon would
/// fetch all records over each of its links simultaneously.
#[derive(Debug, Default)]
pub struct RecordPulls {
    current: Option<Pull>,
    outcomes: BTreeMap<Incarnation, PullOutcome>,
}

#[derive(Debug)]
struct Pull {
    peer: Incarnation,
    progressed_at: MonoMs,
    requested: Vec<u64>,
    wanted: BTreeSet<u64>,
}

/// Records held by both sides when a pull ended. Another pull can bring nothing new until one of the two
/// changes. Guards against endless pulls between builds that keep different invalid records.
#[derive(Debug, PartialEq, Eq)]
struct PullOutcome {
    own: RecordSummary,
    theirs: RecordSummary,
}

impl RecordPulls {
    /// Starts a pull if the peer may have other records and no pull is running. Returns whether it
    /// started.
    pub fn try_begin(
        &mut self,
        now: MonoMs,
        peer: Incarnation,
        own: &RecordSummary,
        theirs: &RecordSummary,
    ) -> bool {
        if own == theirs || theirs.count == 0 || self.is_up_to_date(peer, own, theirs) {
            return false;
        }
        let in_progress = self
            .current
            .as_ref()
            .is_some_and(|pull| now.since(pull.progressed_at) < PULL_TIMEOUT_MS);
        if in_progress {
            return false;
        }
        self.current = Some(Pull {
            peer,
            progressed_at: now,
            requested: Vec::new(),
            wanted: BTreeSet::new(),
        });
        true
    }

    fn is_up_to_date(
        &self,
        peer: Incarnation,
        own: &RecordSummary,
        theirs: &RecordSummary,
    ) -> bool {
        self.outcomes
            .get(&peer)
            .is_some_and(|outcome| outcome.own == *own && outcome.theirs == *theirs)
    }

    /// Stores the keys that a listing showed to be wanted. Returns those to request first; none if
    /// nothing is wanted or no pull from this peer is running.
    pub fn on_listing(&mut self, now: MonoMs, peer: Incarnation, wanted: Vec<u64>) -> Vec<u64> {
        let Some(pull) = self.pull_from(peer) else {
            return Vec::new();
        };
        pull.wanted = wanted.into_iter().collect();
        pull.next_request(now)
    }

    /// Records that revisions of a key arrived from the peer.
    pub fn on_record(&mut self, now: MonoMs, peer: Incarnation, key_hash: u64) {
        if let Some(pull) = self.pull_from(peer) {
            pull.wanted.remove(&key_hash);
            pull.progressed_at = now;
        }
    }

    /// Handles the end of a response. Returns the keys to request next; none if the pull is
    /// complete or no pull from this peer is running.
    pub fn on_response_end(&mut self, now: MonoMs, peer: Incarnation) -> Vec<u64> {
        let Some(pull) = self.pull_from(peer) else {
            return Vec::new();
        };
        let requested = std::mem::take(&mut pull.requested);
        let no_progress = requested.iter().all(|key| pull.wanted.contains(key));
        if no_progress {
            // The peer no longer holds any of them.
            pull.wanted.retain(|key| !requested.contains(key));
        }
        pull.next_request(now)
    }

    /// Ends the pull from a peer and stores what both sides hold now.
    pub fn finish(&mut self, peer: Incarnation, own: RecordSummary, theirs: RecordSummary) {
        if self.pull_from(peer).is_none() {
            return;
        }
        self.current = None;
        self.outcomes.insert(peer, PullOutcome { own, theirs });
    }

    /// Drops the state of a peer whose link closed.
    pub fn on_link_closed(&mut self, peer: Incarnation) {
        self.outcomes.remove(&peer);
        if self.pull_from(peer).is_some() {
            self.current = None;
        }
    }

    fn pull_from(&mut self, peer: Incarnation) -> Option<&mut Pull> {
        self.current.as_mut().filter(|pull| pull.peer == peer)
    }
}

impl Pull {
    fn next_request(&mut self, now: MonoMs) -> Vec<u64> {
        self.progressed_at = now;
        self.requested = self
            .wanted
            .iter()
            .take(MAX_KEYS_PER_REQUEST)
            .copied()
            .collect();
        self.requested.clone()
    }
}
