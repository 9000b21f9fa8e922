use {serde::Serialize, std::ops::Range};

/// Longest of a trouble, in ms; several overlap.
const TROUBLE_MS: Range<u64> = 300..3_000;
/// Time for which a target that leaves serves what it has, in ms: over the two seconds for which
/// instances may still send to it.
const LEAVING_MS: u64 = 2_500;
/// Time for which a target names a limit at least, in ms: the operators count from some seconds after its first
/// word, over four.
const LIMITED_MS: u64 = 6_000;
/// Limits that targets name, in tenths of a request a second.
const LIMIT_TENTHS: Range<u32> = 5..40;
/// Every third seed has planned work only, during which nothing may be cut off.
const PLANNED_EVERY: u64 = 3;

/// What a run is made of.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Time for which faults begin, in ms.
    pub length_ms: u64,
    /// Troubles that begin in a second.
    pub troubles_per_s: f64,
    /// Targets that start again under their names, or whose entries are overwritten, in a second.
    pub restarts_per_s: f64,
    /// Targets that name a limit, say that they leave or turn requests away for a while, in a second.
    pub notices_per_s: f64,
    /// Number of instances.
    pub instances: usize,
    /// Number of targets, of both services.
    pub targets: usize,
}

/// How a connection is disturbed on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Disturbance {
    /// Closed, and new ones too.
    Cut,
    /// Reset, and new ones too.
    Reset,
    /// Nothing passes.
    Hold,
    /// Only answers don't pass.
    HoldBack,
    /// What passes is late.
    Slow,
    /// The open ones are silent for good; new ones work.
    Silence,
}

/// What a target does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Mood {
    /// Says that it is full.
    Shedding,
    /// Runs requests and closes without an answer.
    Losing,
    /// Answers with fewer bytes than it says, or stops within an event.
    Breaking,
    /// Runs requests and never answers.
    Hanging,
    /// Answers twice.
    Doubling,
    /// Succeeds without a seal.
    Unsealed,
    /// Says that it is full and wants nothing for a while.
    Pausing,
}

/// What the store does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum StoreTrouble {
    /// It says that it is busy.
    Busy,
    /// It says that there are too many calls.
    Throttled,
    /// It closes connections.
    Closing,
}

/// A trouble, or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Trouble {
    /// An instance is told to stop, and is started again after it has ended.
    Terminate(usize),
    /// An instance's settings change, with a signal.
    Reload(usize),
    /// A new configuration is published.
    Configure,
    /// A target announces that it leaves, goes, and another one takes its place.
    Replace(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// All instances are killed and started again.
    KillAll,
    /// An instance stands still.
    Pause(usize),
    /// The way from an instance to the store is disturbed.
    StoreWay(usize, Disturbance),
    /// The way from callers to an instance is disturbed.
    CallerWay(usize, Disturbance),
    /// The way to a target is disturbed.
    TargetWay(usize, Disturbance),
    /// The store is in trouble for all.
    Store(StoreTrouble),
    /// The store forgets its history.
    Compact,
    /// A target crashes, and comes back under another name.
    Crash(usize),
    /// A target does something wrong to a part of its requests.
    Moody(usize, Mood),
    /// A target starts again under its name and at its address; open connections are dead.
    Restart(usize),
    /// Somebody else overwrites a target's entry with bytes that name none.
    Overwrite(usize),
    /// A target names how many requests it takes, in tenths of one a second.
    Limit(usize, u32),
    /// A target says in its answers alone that it leaves, goes, and another one takes its place.
    LeaveUnpublished(usize),
}

/// A trouble and its time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Step {
    /// When it begins, in ms from the start of the load.
    pub at_ms: u64,
    /// How long it lasts, in ms, where it lasts.
    pub for_ms: u64,
    /// What happens.
    pub trouble: Trouble,
}

/// All that happens in a run, as its seed says.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// Whether there is planned work only.
    pub is_planned: bool,
    /// What happens, in order.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws what happens.
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let is_planned = seed.is_multiple_of(PLANNED_EVERY);
        let count = (size.length_ms as f64 / 1_000.0 * size.troubles_per_s).ceil() as usize;
        let mut steps: Vec<Step> = (0..count)
            .map(|_| draw_step(&mut rng, size, is_planned))
            .collect();
        if !is_planned {
            steps.extend(draw_restarts(seed, size));
        }
        steps.extend(draw_notices(seed, size, is_planned));
        steps.sort_by_key(|step| step.at_ms);
        Self { is_planned, steps }
    }
}

/// Draws them from a sequence of their own, so that the other troubles of a seed are the same with
/// and without them.
fn draw_restarts(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let count = (size.length_ms as f64 / 1_000.0 * size.restarts_per_s).ceil() as usize;
    let mut draw = || {
        let target = rng.usize(..size.targets);
        Step {
            at_ms: rng.u64(..size.length_ms),
            for_ms: rng.u64(TROUBLE_MS),
            trouble: if rng.bool() {
                Trouble::Restart(target)
            } else {
                Trouble::Overwrite(target)
            },
        }
    };
    (0..count).map(|_| draw()).collect()
}

/// Draws what targets say of themselves, from a sequence of its own as well.
///
/// Memory at a target that wants nothing isn't given back but lapses, which isn't held against planned work.
fn draw_notices(seed: u64, size: Size, is_planned: bool) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(1));
    let count = (size.length_ms as f64 / 1_000.0 * size.notices_per_s).ceil() as usize;
    let kinds = if is_planned { 2 } else { 3 };
    let mut draw = || {
        let target = rng.usize(..size.targets);
        let drawn_ms = rng.u64(TROUBLE_MS);
        let (trouble, least_ms) = match rng.u8(..kinds) {
            0 => (Trouble::Limit(target, rng.u32(LIMIT_TENTHS)), LIMITED_MS),
            1 => (Trouble::LeaveUnpublished(target), LEAVING_MS),
            _ => (Trouble::Moody(target, Mood::Pausing), 0),
        };
        Step {
            at_ms: rng.u64(..size.length_ms),
            for_ms: least_ms + drawn_ms,
            trouble,
        }
    };
    (0..count).map(|_| draw()).collect()
}

fn draw_step(rng: &mut fastrand::Rng, size: Size, is_planned: bool) -> Step {
    let at_ms = rng.u64(..size.length_ms);
    let drawn_ms = rng.u64(TROUBLE_MS);
    let trouble = draw_trouble(rng, size, is_planned);
    let for_ms = match trouble {
        Trouble::Replace(_) => LEAVING_MS + drawn_ms,
        _ => drawn_ms,
    };
    Step {
        at_ms,
        for_ms,
        trouble,
    }
}

fn draw_trouble(rng: &mut fastrand::Rng, size: Size, is_planned: bool) -> Trouble {
    let instance = rng.usize(..size.instances);
    let target = rng.usize(..size.targets);
    let kinds = if is_planned { 4 } else { 14 };
    match rng.usize(..kinds) {
        0 => Trouble::Terminate(instance),
        1 => Trouble::Reload(instance),
        2 => Trouble::Configure,
        3 => Trouble::Replace(target),
        4 => Trouble::Kill(instance),
        5 => Trouble::KillAll,
        6 => Trouble::Pause(instance),
        7 => Trouble::StoreWay(instance, draw_disturbance(rng)),
        8 => Trouble::CallerWay(instance, draw_disturbance(rng)),
        9 => Trouble::TargetWay(target, draw_disturbance(rng)),
        10 => Trouble::Store(draw_store(rng)),
        11 => Trouble::Compact,
        12 => Trouble::Crash(target),
        _ => Trouble::Moody(target, draw_mood(rng)),
    }
}

fn draw_disturbance(rng: &mut fastrand::Rng) -> Disturbance {
    match rng.u8(..6) {
        0 => Disturbance::Cut,
        1 => Disturbance::Reset,
        2 => Disturbance::Hold,
        3 => Disturbance::HoldBack,
        4 => Disturbance::Slow,
        _ => Disturbance::Silence,
    }
}

fn draw_store(rng: &mut fastrand::Rng) -> StoreTrouble {
    match rng.u8(..3) {
        0 => StoreTrouble::Busy,
        1 => StoreTrouble::Throttled,
        _ => StoreTrouble::Closing,
    }
}

fn draw_mood(rng: &mut fastrand::Rng) -> Mood {
    match rng.u8(..6) {
        0 => Mood::Shedding,
        1 => Mood::Losing,
        2 => Mood::Breaking,
        3 => Mood::Hanging,
        4 => Mood::Doubling,
        _ => Mood::Unsealed,
    }
}
