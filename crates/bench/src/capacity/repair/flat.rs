//! Digests of buckets in one flat list.

use {
    super::{
        index::{Difference, Held, Index},
        side::Side,
        transcript::Transcript,
    },
    serde::{Deserialize, Serialize},
    whinlatch_wire::record::RecordEnvelope,
};

/// What is held in one bucket.
#[derive(Debug, Serialize, Deserialize)]
struct BucketHeld(u32, Vec<Held>);

/// Records, and the hashes of keys whose records are wanted.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Exchange {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    records: Vec<RecordEnvelope>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    wants: Vec<u64>,
}

/// One side sends its digests, the other what it holds in the buckets that differ, and then only
/// the records go over that are missing.
pub fn repair_by_ids(a: &mut Side, b: &mut Side, buckets: usize) -> Transcript {
    let mut transcript = Transcript::default();
    let (in_a, in_b) = (Index::of(a), Index::of(b));
    let (of_a, of_b) = (in_a.bucket_digests(buckets), in_b.bucket_digests(buckets));
    let digests: Vec<u64> = transcript.pass(&of_a);
    let open: Vec<usize> = differing(&of_b, &digests).collect();
    let [to_a, to_b] = exchange(&mut transcript, [&in_a, &in_b], &open, buckets);
    transcript.legs = 4;
    b.merge(to_b);
    a.merge(to_a);
    transcript
}

/// Digests of a group of buckets, where the digests of the groups differ.
#[derive(Debug, Serialize, Deserialize)]
struct GroupDigests(u32, Vec<u64>);

/// As by ids, but first come digests of groups of as many buckets as there are groups, and digests
/// of buckets only for the groups that differ.
pub fn repair_by_groups(a: &mut Side, b: &mut Side, groups: usize) -> Transcript {
    let mut transcript = Transcript::default();
    let buckets = groups * groups;
    let (in_a, in_b) = (Index::of(a), Index::of(b));
    let (of_a, of_b) = (in_a.bucket_digests(buckets), in_b.bucket_digests(buckets));
    let (groups_a, groups_b) = (group_digests(&of_a, groups), group_digests(&of_b, groups));
    let theirs: Vec<u64> = transcript.pass(&groups_a);
    let digests: Vec<GroupDigests> = transcript.compute(|| {
        differing(&groups_b, &theirs)
            .map(|group| GroupDigests(group as u32, of_b[group * groups..][..groups].to_vec()))
            .collect()
    });
    let digests = transcript.pass(&digests);
    let open: Vec<usize> = transcript.compute(|| {
        let each = digests.iter().flat_map(|GroupDigests(group, theirs)| {
            let first = *group as usize * groups;
            differing(&of_a[first..][..groups], theirs).map(move |bucket| first + bucket)
        });
        each.collect()
    });
    let [to_b, to_a] = exchange(&mut transcript, [&in_b, &in_a], &open, buckets);
    transcript.legs = 5;
    b.merge(to_b);
    a.merge(to_a);
    transcript
}

/// The second side tells the first what it holds in open buckets; then the records go over that
/// are missing. Returns what the first and the second got.
fn exchange(
    transcript: &mut Transcript,
    [first, second]: [&Index; 2],
    open: &[usize],
    buckets: usize,
) -> [Vec<RecordEnvelope>; 2] {
    let held: Vec<BucketHeld> = transcript.compute(|| {
        let each = open.iter();
        each.map(|bucket| BucketHeld(*bucket as u32, second.bucket_held(*bucket, buckets)))
            .collect()
    });
    let held = transcript.pass(&held);
    let difference = transcript.compute(|| {
        let mut all = Difference::default();
        for BucketHeld(bucket, theirs) in &held {
            let own = first.bucket(*bucket as usize, buckets);
            all.add(Difference::between(own, theirs));
        }
        all
    });
    let to_second = transcript.pass(&Exchange {
        records: difference.send,
        wants: difference.want,
    });
    let records = transcript.compute(|| second.records_of(&to_second.wants));
    let to_first = transcript.pass(&Exchange {
        records,
        wants: Vec::new(),
    });
    [to_first.records, to_second.records]
}

fn group_digests(digests: &[u64], groups: usize) -> Vec<u64> {
    let each = digests.chunks(digests.len() / groups);
    each.map(|group| group.iter().fold(0, |all, digest| all ^ digest))
        .collect()
}

fn differing<'a>(own: &'a [u64], theirs: &'a [u64]) -> impl Iterator<Item = usize> + 'a {
    (0..own.len()).filter(|bucket| theirs.get(*bucket) != Some(&own[*bucket]))
}
