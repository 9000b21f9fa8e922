//! Summaries of ranges of keys, split by rank where they differ.

use {
    super::{
        index::{Difference, Held, Index},
        side::Side,
        transcript::Transcript,
    },
    serde::{Deserialize, Serialize},
    std::ops::Range,
    whinlatch_wire::record::RecordEnvelope,
};

/// How ranges are split.
#[derive(Debug, Clone, Copy)]
pub struct Split {
    /// Parts that a range is split into.
    pub parts: usize,
    /// A range of at most so many records is listed and not split.
    pub list_at: usize,
}

/// A range of keys that begins where the one before it ends. With neither digest nor list it
/// needs nothing more.
#[derive(Debug, Clone)]
struct RangePart(
    /// Bound above all its keys; empty for the end.
    String,
    /// Digest of the sender's records in it.
    Option<u64>,
    /// What the sender holds in it.
    Option<Vec<Held>>,
);

/// Ranges that follow one another. On their way a bound is told by what differs from the one
/// before it, since the keys of neighbours begin alike.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Vec<PackedPart>", into = "Vec<PackedPart>")]
struct RangeList(Vec<RangePart>);

/// A range on its way: the bytes that its bound shares with the one before, the rest of the bound,
/// digest and list.
#[derive(Debug, Serialize, Deserialize)]
struct PackedPart(usize, String, Option<u64>, Option<Vec<Held>>);

impl From<RangeList> for Vec<PackedPart> {
    fn from(list: RangeList) -> Self {
        let mut before = String::new();
        let mut packed = Self::new();
        for RangePart(bound, digest, held) in list.0 {
            let pairs = before.bytes().zip(bound.bytes());
            let shared = pairs.take_while(|(a, b)| a == b).count();
            packed.push(PackedPart(shared, bound[shared..].to_owned(), digest, held));
            before = bound;
        }
        packed
    }
}

impl From<Vec<PackedPart>> for RangeList {
    fn from(packed: Vec<PackedPart>) -> Self {
        let mut before = String::new();
        let mut parts = Vec::new();
        for PackedPart(shared, rest, digest, held) in packed {
            before.truncate(shared);
            before.push_str(&rest);
            parts.push(RangePart(before.clone(), digest, held));
        }
        Self(parts)
    }
}

/// One message: ranges that are still open, and records.
#[derive(Debug, Default, Serialize, Deserialize)]
struct RangeMessage {
    ranges: RangeList,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    records: Vec<RecordEnvelope>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    wants: Vec<u64>,
}

/// The sides answer each other until no range is open.
pub fn repair(a: &mut Side, b: &mut Side, split: Split) -> Transcript {
    let mut transcript = Transcript::default();
    let indexes = [Index::of(a), Index::of(b)];
    let mut received = [Vec::new(), Vec::new()];
    let mut message = transcript.compute(|| RangeMessage {
        ranges: RangeList(split_range(&indexes[0], &(0..indexes[0].len()), split)),
        ..RangeMessage::default()
    });
    let mut side = 1;
    while !message.is_empty() {
        let arrived = transcript.pass(&message);
        transcript.legs += 1;
        message = transcript.compute(|| respond(&indexes[side], &arrived, split));
        received[side].extend(arrived.records);
        side = 1 - side;
    }
    let [to_a, to_b] = received;
    a.merge(to_a);
    b.merge(to_b);
    transcript
}

impl RangeMessage {
    fn is_empty(&self) -> bool {
        self.ranges.0.is_empty() && self.records.is_empty() && self.wants.is_empty()
    }
}

fn respond(own: &Index, message: &RangeMessage, split: Split) -> RangeMessage {
    let mut reply = RangeMessage::default();
    let mut start = 0;
    for RangePart(bound, digest, held) in &message.ranges.0 {
        let ranks = start..own.rank(bound).max(start);
        start = ranks.end;
        match (digest, held) {
            (Some(digest), _) if *digest != own.digest(&ranks) => {
                reply.open(own, &ranks, bound, split);
            }
            (None, Some(theirs)) => {
                let difference = Difference::between(own.records(&ranks), theirs);
                reply.records.extend(difference.send);
                reply.wants.extend(difference.want);
                reply.skip(bound);
            }
            _ => reply.skip(bound),
        }
    }
    reply.records.extend(own.records_of(&message.wants));
    reply.trim();
    reply
}

impl RangeMessage {
    /// Lists a small range, splits a large one. The last part ends at the other side's bound.
    fn open(&mut self, own: &Index, ranks: &Range<usize>, bound: &str, split: Split) {
        if ranks.len() <= split.list_at {
            let held = Some(own.held(ranks));
            self.ranges.0.push(RangePart(bound.to_owned(), None, held));
            return;
        }
        let mut parts = split_range(own, ranks, split);
        if let Some(last) = parts.last_mut() {
            bound.clone_into(&mut last.0);
        }
        self.ranges.0.extend(parts);
    }

    /// Passes over a range, as one with a range before it that is passed over too.
    fn skip(&mut self, bound: &str) {
        match self.ranges.0.last_mut() {
            Some(RangePart(last, None, None)) => bound.clone_into(last),
            _ => self.ranges.0.push(RangePart(bound.to_owned(), None, None)),
        }
    }

    /// Drops a range at the end that needs nothing more.
    fn trim(&mut self) {
        if let Some(RangePart(_, None, None)) = self.ranges.0.last() {
            self.ranges.0.pop();
        }
    }
}

fn split_range(own: &Index, ranks: &Range<usize>, split: Split) -> Vec<RangePart> {
    let cut = |part: usize| ranks.start + ranks.len() * part / split.parts;
    (0..split.parts)
        .map(|part| (cut(part)..cut(part + 1), cut(part + 1)))
        .filter(|(ranks, _)| !ranks.is_empty())
        .map(|(ranks, end)| RangePart(own.bound(end), Some(own.digest(&ranks)), None))
        .collect()
}
