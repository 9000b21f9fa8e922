use {
    crate::routing::{Ask, Candidate, Scene, tokens_of},
    thiserror::Error,
    whinlatch_wire::ids::TargetName,
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

/// Part of an engine's memory that a group leaves to others, so that light prompts don't have to wait
/// until the group is through.
const LEAVE_PART: u64 = 8;
/// Engines that a group may take beyond the fewest. Each helps at the cost of its own work.
const MOST_EXTRA: usize = 2;

/// Engines for a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenGroup {
    /// The engines in the order of their names.
    pub targets: Vec<TargetName>,
    /// Tokens that each sets aside.
    pub part_tokens: u64,
}

/// An engine that may take part.
struct Engine<'a> {
    target: &'a TargetName,
    memory_tokens: u64,
    free_tokens: u64,
    heavy_ms: f64,
}

/// Chooses the fewest engines that have room for equal parts of the prompt, those with the least
/// heavy work first.
///
/// # Errors
/// [`NoGroup`] if no group has room.
pub fn choose_group(
    scene: &Scene<'_>,
    ask: &Ask<'_>,
    list: &[Candidate],
) -> Result<ChosenGroup, NoGroup> {
    let tokens = tokens_of(ask.work);
    if list
        .iter()
        .map(|candidate| candidate.memory_tokens)
        .sum::<u64>()
        < tokens
    {
        return Err(NoGroup::TooLong);
    }
    let mut engines: Vec<Engine<'_>> = list
        .iter()
        .filter_map(|candidate| engine(scene, candidate))
        .collect();
    engines.sort_by(|a, b| a.heavy_ms.total_cmp(&b.heavy_ms));
    fewest_with_room(&engines, tokens).ok_or(NoGroup::NoRoom)
}

fn engine<'a>(scene: &Scene<'a>, candidate: &Candidate) -> Option<Engine<'a>> {
    let state = scene.targets.at(candidate.place);
    if !state.takes_work() {
        return None;
    }
    Some(Engine {
        target: scene.targets.name_at(candidate.place),
        memory_tokens: candidate.memory_tokens,
        free_tokens: state.load.free_tokens(),
        heavy_ms: state.load.left(scene.now).long_ms,
    })
}

/// The first engines in order that suffice, as few as possible.
fn fewest_with_room(engines: &[Engine<'_>], tokens: u64) -> Option<ChosenGroup> {
    let largest = engines.iter().map(|e| e.memory_tokens).max()?;
    let leaving = tokens.div_ceil(largest - largest / LEAVE_PART) as usize;
    // A fleet that is too small to leave anything takes the prompt nevertheless.
    let leave = leaving <= engines.len();
    let fewest = if leave {
        leaving
    } else {
        tokens.div_ceil(largest) as usize
    };
    (fewest.max(2)..=fewest + MOST_EXTRA).find_map(|count| {
        let part_tokens = tokens.div_ceil(count as u64);
        let left = |e: &&Engine<'_>| {
            if leave {
                e.memory_tokens / LEAVE_PART
            } else {
                0
            }
        };
        let with_room = engines
            .iter()
            .filter(|e| e.free_tokens >= part_tokens + left(e));
        let mut targets: Vec<TargetName> =
            with_room.take(count).map(|e| e.target.clone()).collect();
        targets.sort();
        (targets.len() == count).then_some(ChosenGroup {
            targets,
            part_tokens,
        })
    })
}
