use {
    crate::{
        conf::reader::{
            Faults, Location, ObjectReader, integer, integer_u32, number, positive_number,
        },
        record::{PolicyRecord, read::NONZERO_COUNT},
    },
    std::ops::RangeInclusive,
};

/// Upper bound of a value in thousandths.
const PER_MILLE: u32 = 1_000;
/// Range of a time in a policy, in ms: up to one day.
const TIME_RANGE_MS: RangeInclusive<u64> = 1..=86_400_000;

pub(super) fn read_policy(location: &Location<'_>, faults: &mut Faults) -> Option<PolicyRecord> {
    let defaults = PolicyRecord::default();
    let mut object = ObjectReader::open(location, faults)?;
    let long_weight = object.with_default(
        "long_first_token_weight",
        defaults.long_first_token_weight,
        faults,
        number(0.0..=1.0),
    );
    let short_weight = object.with_default(
        "short_slowdown_weight",
        defaults.short_slowdown_weight,
        faults,
        number(0.0..=1.0),
    );
    let long_prompt_tokens = object.with_default(
        "long_prompt_tokens",
        defaults.long_prompt_tokens,
        faults,
        integer(NONZERO_COUNT),
    );
    let platform_reads_per_s = object.with_default(
        "platform_reads_per_s",
        defaults.platform_reads_per_s,
        faults,
        positive_number,
    );
    let retry_budget_per_mille = object.with_default(
        "retry_budget_per_mille",
        defaults.retry_budget_per_mille,
        faults,
        integer_u32(0..=PER_MILLE),
    );
    let poison_targets = object.with_default(
        "poison_targets",
        defaults.poison_targets,
        faults,
        integer_u32(1..=u32::MAX),
    );
    let entries_ttl_ms = object.with_default(
        "entries_ttl_ms",
        defaults.entries_ttl_ms,
        faults,
        integer(TIME_RANGE_MS),
    );
    let max_deadline_ms = object.with_default(
        "max_deadline_ms",
        defaults.max_deadline_ms,
        faults,
        integer(TIME_RANGE_MS),
    );
    object.finish(faults);
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
