//! Repair by comparing digests of buckets of records.

use {
    super::{
        exchange_cost::ExchangeCost,
        index::{Difference, Index, KeyRevision},
        replica::Replica,
    },
    serde::{Deserialize, Serialize},
    whinlatch_wire::record::RecordEnvelope,
};

/// Number of a bucket, and the key hashes and revisions in it.
#[derive(Debug, Serialize, Deserialize)]
struct BucketListing(u32, Vec<KeyRevision>);

/// Records for the receiver, and the hashes of the keys whose records the sender requests. The names of
/// the fields count in the measured bytes.
#[derive(Debug, Default, Serialize, Deserialize)]
struct RecordExchange {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    records: Vec<RecordEnvelope>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    wants: Vec<u64>,
}

/// The first replica sends its digests. The second answers with the keys and revisions in the buckets that
/// differ. Then both send only the records that the other lacks.
pub fn repair_by_buckets(a: &mut Replica, b: &mut Replica, buckets: usize) -> ExchangeCost {
    let mut cost = ExchangeCost::default();
    let (index_a, index_b) = (Index::new(a), Index::new(b));
    let (digests_a, digests_b) = (
        index_a.bucket_digests(buckets),
        index_b.bucket_digests(buckets),
    );
    let digests: Vec<u64> = cost.transfer(&digests_a);
    let differing_buckets: Vec<usize> = differing(&digests_b, &digests).collect();
    let [to_a, to_b] =
        exchange_records(&mut cost, [&index_a, &index_b], &differing_buckets, buckets);
    cost.legs = 4;
    b.merge(to_b);
    a.merge(to_a);
    cost
}

/// Number of a group of buckets, and the digests of these buckets.
#[derive(Debug, Serialize, Deserialize)]
struct GroupDigests(u32, Vec<u64>);

/// Like [`repair_by_buckets`], but first compares digests of groups of buckets, and then digests of buckets
/// only in the groups that differ. Each of `groups` groups has `groups` buckets.
pub fn repair_by_groups(a: &mut Replica, b: &mut Replica, groups: usize) -> ExchangeCost {
    let mut cost = ExchangeCost::default();
    let buckets = groups * groups;
    let (index_a, index_b) = (Index::new(a), Index::new(b));
    let (digests_a, digests_b) = (
        index_a.bucket_digests(buckets),
        index_b.bucket_digests(buckets),
    );
    let (groups_a, groups_b) = (
        group_digests(&digests_a, groups),
        group_digests(&digests_b, groups),
    );
    let theirs: Vec<u64> = cost.transfer(&groups_a);
    let digests: Vec<GroupDigests> = cost.compute(|| {
        differing(&groups_b, &theirs)
            .map(|group| GroupDigests(group as u32, digests_b[group * groups..][..groups].to_vec()))
            .collect()
    });
    let digests = cost.transfer(&digests);
    let differing_buckets: Vec<usize> = cost.compute(|| {
        let each = digests.iter().flat_map(|GroupDigests(group, theirs)| {
            let first = *group as usize * groups;
            differing(&digests_a[first..][..groups], theirs).map(move |bucket| first + bucket)
        });
        each.collect()
    });
    let [to_b, to_a] =
        exchange_records(&mut cost, [&index_b, &index_a], &differing_buckets, buckets);
    cost.legs = 5;
    b.merge(to_b);
    a.merge(to_a);
    cost
}

/// The second replica lists its keys and revisions in the buckets that differ; then each sends the records
/// that the other lacks. Returns the records for the first and for the second.
fn exchange_records(
    cost: &mut ExchangeCost,
    [first, second]: [&Index; 2],
    differing_buckets: &[usize],
    buckets: usize,
) -> [Vec<RecordEnvelope>; 2] {
    let listings: Vec<BucketListing> = cost.compute(|| {
        let each = differing_buckets.iter();
        each.map(|bucket| BucketListing(*bucket as u32, second.bucket_listing(*bucket, buckets)))
            .collect()
    });
    let listings = cost.transfer(&listings);
    let difference = cost.compute(|| {
        let mut all = Difference::default();
        for BucketListing(bucket, theirs) in &listings {
            let own = first.bucket(*bucket as usize, buckets);
            all.add(Difference::between(own, theirs));
        }
        all
    });
    let to_second = cost.transfer(&RecordExchange {
        records: difference.send,
        wants: difference.missing,
    });
    let records = cost.compute(|| second.records_by_hash(&to_second.wants));
    let to_first = cost.transfer(&RecordExchange {
        records,
        wants: Vec::new(),
    });
    [to_first.records, to_second.records]
}

/// Combines the digests of each group of buckets.
fn group_digests(digests: &[u64], groups: usize) -> Vec<u64> {
    let each = digests.chunks(digests.len() / groups);
    each.map(|group| group.iter().fold(0, |all, digest| all ^ digest))
        .collect()
}

/// Returns the indexes of the digests that differ.
fn differing<'a>(own: &'a [u64], theirs: &'a [u64]) -> impl Iterator<Item = usize> + 'a {
    (0..own.len()).filter(|bucket| theirs.get(*bucket) != Some(&own[*bucket]))
}
