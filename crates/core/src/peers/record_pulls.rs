use {
    crate::time::MonoMs,
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_wire::{ids::Incarnation, peer::RecordSummary},
};

/// Time without progress after which a pull is given up, in ms.
const PULL_TIMEOUT_MS: u64 = 3_000;
/// Most keys that are asked for at once.
const KEYS_AT_ONCE: usize = 4_096;

/// Which records are being pulled from whom. One pull runs at a time in the whole daemon: a daemon
/// that starts would else fetch all records over each of its links at once.
#[derive(Debug, Default)]
pub struct RecordPulls {
    current: Option<Pull>,
    settled: BTreeMap<Incarnation, Settled>,
}

#[derive(Debug)]
struct Pull {
    peer: Incarnation,
    progressed: MonoMs,
    asked: Vec<u64>,
    wanted: BTreeSet<u64>,
}

/// What both sides held when a pull ended. Nothing new can come of another until one changes.
/// Guards against endless pulls between builds that keep different invalid records.
#[derive(Debug, PartialEq, Eq)]
struct Settled {
    own: RecordSummary,
    theirs: RecordSummary,
}

impl RecordPulls {
    /// Whether to pull from a peer now; if so, the pull has begun.
    pub fn begin(
        &mut self,
        now: MonoMs,
        peer: Incarnation,
        own: &RecordSummary,
        theirs: &RecordSummary,
    ) -> bool {
        if own == theirs || theirs.count == 0 || self.is_settled(peer, own, theirs) {
            return false;
        }
        let busy = self
            .current
            .as_ref()
            .is_some_and(|pull| now.since(pull.progressed) < PULL_TIMEOUT_MS);
        if busy {
            return false;
        }
        self.current = Some(Pull {
            peer,
            progressed: now,
            asked: Vec::new(),
            wanted: BTreeSet::new(),
        });
        true
    }

    fn is_settled(&self, peer: Incarnation, own: &RecordSummary, theirs: &RecordSummary) -> bool {
        self.settled
            .get(&peer)
            .is_some_and(|settled| settled.own == *own && settled.theirs == *theirs)
    }

    /// Notes which keys a listing showed to be of use. Returns those to ask for first; none if the
    /// pull is over or was not under way.
    pub fn listed(&mut self, now: MonoMs, peer: Incarnation, wanted: Vec<u64>) -> Vec<u64> {
        let Some(pull) = self.of(peer) else {
            return Vec::new();
        };
        pull.wanted = wanted.into_iter().collect();
        pull.ask(now)
    }

    /// Notes that something held under a key came from the peer.
    pub fn got(&mut self, now: MonoMs, peer: Incarnation, key_hash: u64) {
        if let Some(pull) = self.of(peer) {
            pull.wanted.remove(&key_hash);
            pull.progressed = now;
        }
    }

    /// Notes the end of an answer. Returns the keys to ask for next; none if the pull is over.
    pub fn answered(&mut self, now: MonoMs, peer: Incarnation) -> Vec<u64> {
        let Some(pull) = self.of(peer) else {
            return Vec::new();
        };
        let asked = std::mem::take(&mut pull.asked);
        let stuck = asked.iter().all(|key| pull.wanted.contains(key));
        if stuck {
            // The peer holds none of them any more.
            pull.wanted.retain(|key| !asked.contains(key));
        }
        pull.ask(now)
    }

    /// Ends the pull from a peer and remembers what both sides hold now.
    pub fn settle(&mut self, peer: Incarnation, own: RecordSummary, theirs: RecordSummary) {
        if self.of(peer).is_none() {
            return;
        }
        self.current = None;
        self.settled.insert(peer, Settled { own, theirs });
    }

    /// Forgets a peer whose link is closed.
    pub fn closed(&mut self, peer: Incarnation) {
        self.settled.remove(&peer);
        if self.of(peer).is_some() {
            self.current = None;
        }
    }

    fn of(&mut self, peer: Incarnation) -> Option<&mut Pull> {
        self.current.as_mut().filter(|pull| pull.peer == peer)
    }
}

impl Pull {
    fn ask(&mut self, now: MonoMs) -> Vec<u64> {
        self.progressed = now;
        self.asked = self.wanted.iter().take(KEYS_AT_ONCE).copied().collect();
        self.asked.clone()
    }
}
