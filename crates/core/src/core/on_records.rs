//! Exchange of records with other daemons: comparison, pulls and pushes.

use {
    super::Core,
    crate::{action::Action, decisions::Subsystem, records, records::Merge, time::MonoMs},
    whinlatch_wire::{
        ids::Incarnation,
        peer::{PeerFrame, RecordListing, RecordPull, RecordSummary},
        record::RecordEnvelope,
    },
};

/// Maximum bytes of records in one frame; a larger record is sent alone. Far below the size limit of
/// frames, so that heartbeats don't wait long behind one.
const MAX_FRAME_RECORD_BYTES: usize = 256 * 1_024;
/// Maximum bytes of records in the response to one pull. The peer pulls the rest later, so that a fast
/// sender can't fill a slow link's queue.
const MAX_PULL_RESPONSE_BYTES: usize = 1_024 * 1_024;
/// Maximum bytes of new records that are pushed to peers. More are left to pulls: otherwise a daemon that
/// starts would push all records that it reads to peers that already have them.
const MAX_PUSH_BYTES: usize = 64 * 1_024;

impl Core {
    /// Begins a pull if the peer's records differ. Both sides pull, so that both end with the same merged
    /// records.
    pub(super) fn compare_records(
        &mut self,
        now: MonoMs,
        peer: Incarnation,
        theirs: &RecordSummary,
    ) {
        let own = self.records.summary();
        if !self.pulls.try_begin(now, peer, &own, theirs) {
            return;
        }
        let buckets = self.records.buckets().digests().to_vec();
        self.pull(
            peer,
            RecordPull {
                buckets,
                ..RecordPull::default()
            },
        );
    }

    fn pull(&mut self, peer: Incarnation, pull: RecordPull) {
        self.send(
            peer,
            PeerFrame {
                pull: Some(pull),
                ..PeerFrame::default()
            },
        );
    }

    pub(super) fn answer_pull(&mut self, peer: Incarnation, pull: &RecordPull) {
        if !pull.buckets.is_empty() {
            let stamps = self.records.listing(&pull.buckets);
            self.links.set_buckets(peer, &pull.buckets);
            self.send(
                peer,
                PeerFrame {
                    listing: Some(RecordListing { stamps }),
                    ..PeerFrame::default()
                },
            );
        }
        if pull.keys.is_empty() {
            return;
        }
        let records = self
            .records
            .envelopes_of(&pull.keys, MAX_PULL_RESPONSE_BYTES);
        for records in frames_of(records) {
            self.send(
                peer,
                PeerFrame {
                    records,
                    ..PeerFrame::default()
                },
            );
        }
        self.send(
            peer,
            PeerFrame {
                pull_done: true,
                ..PeerFrame::default()
            },
        );
    }

    pub(super) fn on_listing(&mut self, now: MonoMs, peer: Incarnation, listing: &RecordListing) {
        let wanted = self.records.wanted_keys(&listing.stamps);
        let keys = self.pulls.on_listing(now, peer, wanted);
        self.pull_keys_or_finish(peer, keys);
    }

    pub(super) fn on_pull_done(&mut self, now: MonoMs, peer: Incarnation) {
        let keys = self.pulls.on_response_end(now, peer);
        self.pull_keys_or_finish(peer, keys);
    }

    fn pull_keys_or_finish(&mut self, peer: Incarnation, keys: Vec<u64>) {
        if keys.is_empty() {
            let theirs = self.links.summary_of(peer);
            self.pulls.finish(peer, self.records.summary(), theirs);
            return;
        }
        self.pull(
            peer,
            RecordPull {
                keys,
                ..RecordPull::default()
            },
        );
    }

    pub(super) fn on_peer_records(
        &mut self,
        now: MonoMs,
        from: Incarnation,
        records: &[RecordEnvelope],
    ) {
        self.merge_records(now, records, Some(from));
        for envelope in records {
            self.pulls
                .on_record(now, from, records::key_hash(&envelope.key));
        }
    }

    /// Merges records from the platform, or from the peer `from`, and pushes the new ones to the other peers.
    pub(super) fn merge_records(
        &mut self,
        now: MonoMs,
        records: &[RecordEnvelope],
        from: Option<Incarnation>,
    ) {
        let source = match from {
            Some(_) => "a peer",
            None => "the platform",
        };
        let mut fresh = Vec::new();
        for envelope in records {
            let (key, revision) = (&envelope.key, envelope.revision);
            let text = match self.records.merge(envelope) {
                Merge::Old => continue,
                Merge::InForce => format!("{key} is in force at {revision} from {source}"),
                Merge::Rejected(fault) => format!("{key} is rejected at {revision}: {fault}"),
            };
            self.record_decision(now, Subsystem::Records, None, text);
            fresh.push(envelope.clone());
        }
        if fresh.is_empty() {
            return;
        }
        self.targets.apply_records(self.records.in_force());
        self.reapply_list(now);
        self.push_records(&fresh, from);
    }

    fn push_records(&mut self, fresh: &[RecordEnvelope], except: Option<Incarnation>) {
        let bytes: usize = fresh.iter().map(records::frame_bytes).sum();
        if bytes > MAX_PUSH_BYTES {
            return;
        }
        let peers: Vec<Incarnation> = self
            .links
            .peers()
            .filter(|peer| Some(*peer) != except)
            .collect();
        for to in peers {
            self.send(
                to,
                PeerFrame {
                    records: fresh.to_vec(),
                    ..PeerFrame::default()
                },
            );
        }
    }

    pub(super) fn send(&mut self, to: Incarnation, frame: PeerFrame) {
        self.emit(Action::Send {
            to,
            frame: Box::new(frame),
        });
    }
}

/// Splits records into frames of at most [`MAX_FRAME_RECORD_BYTES`], or of a single larger record.
fn frames_of(records: Vec<RecordEnvelope>) -> Vec<Vec<RecordEnvelope>> {
    let mut frames: Vec<Vec<RecordEnvelope>> = Vec::new();
    let mut bytes = MAX_FRAME_RECORD_BYTES;
    for envelope in records {
        bytes += records::frame_bytes(&envelope);
        match frames.last_mut() {
            Some(frame) if bytes <= MAX_FRAME_RECORD_BYTES => frame.push(envelope),
            _ => {
                bytes = records::frame_bytes(&envelope);
                frames.push(vec![envelope]);
            }
        }
    }
    frames
}
