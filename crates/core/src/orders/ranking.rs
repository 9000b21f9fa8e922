use {whinlatch_wire::ids::Incarnation, xxhash_rust::xxh3::xxh3_64_with_seed};

/// How many of `others` rank before `own` for `key` (rendezvous hashing): with one view of the
/// members all daemons agree, and a member that comes or goes changes nothing for most keys.
pub fn place_of(own: Incarnation, others: &[Incarnation], key: &str) -> usize {
    let own = (weight(own, key), own);
    let before = others
        .iter()
        .filter(|other| (weight(**other, key), **other) > own);
    before.count()
}

/// The `count` members that rank first for `key`.
pub fn first_of(members: &[Incarnation], key: &str, count: usize) -> Vec<Incarnation> {
    let mut ranked: Vec<(u64, Incarnation)> = members
        .iter()
        .map(|member| (weight(*member, key), *member))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}

fn weight(member: Incarnation, key: &str) -> u64 {
    let low = member.0 as u64;
    let high = (member.0 >> 64) as u64;
    xxh3_64_with_seed(key.as_bytes(), low ^ high.rotate_left(32))
}
