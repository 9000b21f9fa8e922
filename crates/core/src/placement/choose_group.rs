use {
    crate::{
        fleet::{TargetState, Targets},
        records::InForce,
        routing::{Ask, memory_of, serves, tokens_of},
    },
    std::cmp::Reverse,
    thiserror::Error,
    whinlatch_wire::{
        ids::{ProviderName, TargetName},
        record::TargetRecord,
    },
};

/// Why there is no group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoGroup {
    /// All engines together can't hold the prompt.
    #[error("the prompt is longer than all engines together hold: shorten it")]
    TooLong,
    /// The engines that could hold it are away, or have too little memory free for now.
    #[error("the engines have too little memory free for the prompt")]
    NoRoom,
}

/// An engine that may take part.
struct Candidate<'a> {
    target: &'a TargetName,
    free_tokens: u64,
    load: u32,
}

/// Chooses the fewest engines of one provider that have room for equal parts of the prompt, the
/// least loaded first. Returns them in the order of their names and the tokens of each part.
///
/// # Errors
/// [`NoGroup`] if no group has room.
pub fn choose_group(
    in_force: &InForce,
    targets: &Targets,
    ask: &Ask<'_>,
    provider: Option<&ProviderName>,
) -> Result<(Vec<TargetName>, u64), NoGroup> {
    let tokens = tokens_of(ask.work);
    let usable: Vec<&TargetRecord> = in_force
        .targets()
        .filter(|record| is_usable(record, ask))
        .collect();
    let of = |provider: &ProviderName| {
        let records = usable.iter().filter(move |r| r.provider == *provider);
        records.copied().collect::<Vec<_>>()
    };
    let holds = |records: &[&TargetRecord]| {
        let memory: u64 = records.iter().filter_map(|r| memory_of(r)).sum();
        memory >= tokens
    };
    let wanted = provider.map(of).filter(|records| holds(records));
    let records = wanted
        .or_else(|| {
            let mut shares = ask.route.providers.iter();
            shares.find_map(|share| Some(of(&share.provider)).filter(|records| holds(records)))
        })
        .ok_or(NoGroup::TooLong)?;
    let mut candidates: Vec<Candidate<'_>> = records
        .into_iter()
        .filter_map(|record| candidate(record, targets.get(&record.target)?))
        .collect();
    candidates.sort_by_key(|c| (c.load, Reverse(c.free_tokens)));
    fewest_with_room(&candidates, tokens).ok_or(NoGroup::NoRoom)
}

fn is_usable(record: &TargetRecord, ask: &Ask<'_>) -> bool {
    let mut shares = ask.route.providers.iter();
    shares
        .find(|share| share.provider == record.provider)
        .is_some_and(|share| serves(record, share, ask.work))
}

fn candidate<'a>(record: &'a TargetRecord, state: &TargetState) -> Option<Candidate<'a>> {
    if !state.takes_work() {
        return None;
    }
    let report = state.report.as_ref();
    let used_tokens = report.map_or(0, |report| report.memory_used_tokens);
    Some(Candidate {
        target: &record.target,
        free_tokens: memory_of(record)?.saturating_sub(used_tokens),
        load: report.map_or(0, |report| report.waiting + report.running),
    })
}

/// The first engines in order that suffice, as few as possible.
fn fewest_with_room(candidates: &[Candidate<'_>], tokens: u64) -> Option<(Vec<TargetName>, u64)> {
    (2..=candidates.len()).find_map(|engines| {
        let part_tokens = tokens.div_ceil(engines as u64);
        let with_room = candidates.iter().filter(|c| c.free_tokens >= part_tokens);
        let mut chosen: Vec<TargetName> =
            with_room.take(engines).map(|c| c.target.clone()).collect();
        chosen.sort();
        (chosen.len() == engines).then_some((chosen, part_tokens))
    })
}
