use {whinlatch_wire::ids::Incarnation, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Returns how many of `others` rank before `own` for `key`, by rendezvous hashing: daemons with the
/// same view of the members agree, and a member that joins or leaves changes the ranks of few keys.
pub fn rank_of(own: Incarnation, others: &[Incarnation], key: &str) -> usize {
    let own = (weight(own, key), own);
    let before = others
        .iter()
        .filter(|other| (weight(**other, key), **other) > own);
    before.count()
}

/// Returns the `count` members that rank first for `key`, in order of rank.
pub fn highest_ranked(members: &[Incarnation], key: &str, count: usize) -> Vec<Incarnation> {
    let mut ranked: Vec<(u64, Incarnation)> = members
        .iter()
        .map(|member| (weight(*member, key), *member))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the rendezvous weight of a member for `key`; the highest ranks first.
fn weight(member: Incarnation, key: &str) -> u64 {
    let low = member.0 as u64;
    let high = (member.0 >> 64) as u64;
    xxh3_64_with_seed(key.as_bytes(), low ^ high.rotate_left(32))
}
