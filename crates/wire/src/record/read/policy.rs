use {
    crate::{
        conf::reader::{Faults, ObjectReader, Place, number, positive, whole, whole_u32},
        record::{PolicyRecord, read::COUNT},
    },
    std::ops::RangeInclusive,
};

/// Upper bound of a value in thousandths.
const PER_MILLE: u32 = 1_000;
/// Range of a time in a policy, in ms: up to one day.
const TIME_MS: RangeInclusive<u64> = 1..=86_400_000;

pub(super) fn read_policy(place: &Place<'_>, faults: &mut Faults) -> Option<PolicyRecord> {
    let defaults = PolicyRecord::default();
    let mut object = ObjectReader::open(place, faults)?;
    let long_weight = object.or(
        "long_first_token_weight",
        defaults.long_first_token_weight,
        faults,
        number(0.0..=1.0),
    );
    let short_weight = object.or(
        "short_slowdown_weight",
        defaults.short_slowdown_weight,
        faults,
        number(0.0..=1.0),
    );
    let long_prompt_tokens = object.or(
        "long_prompt_tokens",
        defaults.long_prompt_tokens,
        faults,
        whole(COUNT),
    );
    let platform_reads_per_s = object.or(
        "platform_reads_per_s",
        defaults.platform_reads_per_s,
        faults,
        positive,
    );
    let retry_budget_per_mille = object.or(
        "retry_budget_per_mille",
        defaults.retry_budget_per_mille,
        faults,
        whole_u32(0..=PER_MILLE),
    );
    let poison_targets = object.or(
        "poison_targets",
        defaults.poison_targets,
        faults,
        whole_u32(1..=u32::MAX),
    );
    let entries_ttl_ms = object.or(
        "entries_ttl_ms",
        defaults.entries_ttl_ms,
        faults,
        whole(TIME_MS),
    );
    let max_deadline_ms = object.or(
        "max_deadline_ms",
        defaults.max_deadline_ms,
        faults,
        whole(TIME_MS),
    );
    object.close(faults);
    Some(PolicyRecord {
        long_first_token_weight: long_weight?,
        short_slowdown_weight: short_weight?,
        long_prompt_tokens: long_prompt_tokens?,
        platform_reads_per_s: platform_reads_per_s?,
        retry_budget_per_mille: retry_budget_per_mille?,
        poison_targets: poison_targets?,
        entries_ttl_ms: entries_ttl_ms?,
        max_deadline_ms: max_deadline_ms?,
    })
}
