//! Plan of a run: what happens and when, drawn by the run's seed.

use {crate::shutdown_plan::draw_shutdowns, serde::Serialize, std::ops::Range};

/// Range of the duration of a trouble, in ms; troubles overlap.
const TROUBLE_DURATION_MS: Range<u64> = 300..3_000;
/// Shortest time for which a leaving target goes on serving, in ms: more than the two seconds for which
/// instances may still send to it.
const MIN_LEAVING_MS: u64 = 2_500;
/// Shortest time for which a target announces a limit, in ms: the operators count over four seconds, and begin
/// some seconds after the first announcement.
const MIN_LIMIT_MS: u64 = 6_000;
/// Time by which a leaving target stays longer where streams take seconds, in ms: more than the longest stream and a
/// silence.
const MAX_STREAM_MS: u64 = 4_500;
/// Limits that targets announce, in tenths of a request per second.
const LIMIT_TENTHS: Range<u32> = 5..40;
/// Every third seed draws planned work only, during which no request may be cut off.
const PLANNED_SEED_INTERVAL: u64 = 3;

/// Duration, rates and sizes that a plan is drawn for.
#[derive(Debug, Clone, Copy)]
pub struct RunParameters {
    /// Time during which troubles begin, in ms.
    pub length_ms: u64,
    /// Troubles that begin per second.
    pub troubles_per_s: f64,
    /// Targets per second that restart under the same name, or whose entries are overwritten.
    pub restarts_per_s: f64,
    /// Targets per second that announce a limit or that they leave, or refuse requests for a while.
    pub notices_per_s: f64,
    /// Series of stops and silences of targets that begin per second.
    pub shutdowns_per_s: f64,
    /// Number of instances.
    pub instances: usize,
    /// Number of targets of both services together.
    pub targets: usize,
}

/// Fault of the connections through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Disturbance {
    /// Open connections are closed, and new ones too.
    Cut,
    /// Open connections are reset, and new ones too.
    Reset,
    /// No bytes pass in either direction.
    Hold,
    /// Requests pass, responses don't.
    HoldBack,
    /// Bytes pass with a delay.
    Slow,
    /// Open connections no longer carry any bytes; new ones work.
    Silence,
}

/// Misbehaviour of a target towards a part of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum TargetTrouble {
    /// Refuses requests as not run, since it is full.
    Shedding,
    /// Runs requests and closes the connection without a response.
    Losing,
    /// Sends a body shorter than its length, or stops within an event of a stream.
    Breaking,
    /// Runs requests and never responds.
    Hanging,
    /// Sends two responses to a request.
    Doubling,
    /// Responds with success but without a seal.
    Unsealed,
    /// Refuses requests as not run and asks to be sent no others for some time.
    Pausing,
}

/// Misbehaviour of the store towards all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum StoreTrouble {
    /// Responds with status 503.
    Busy,
    /// Responds with status 429.
    Throttled,
    /// Closes connections without a response.
    Closing,
}

/// A fault, or planned work. Numbers are the indices of instances and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Trouble {
    /// An instance is signalled to stop, and is restarted after its exit.
    Terminate(usize),
    /// An instance's settings change, and a signal has it reload them.
    Reload(usize),
    /// A new configuration is published.
    Configure,
    /// A target publishes that it is leaving, and is replaced by another one.
    Replace(usize),
    /// An instance is killed and restarted.
    Kill(usize),
    /// All instances are killed and restarted.
    KillAll,
    /// The process of an instance is paused.
    Pause(usize),
    /// The connections from an instance to the store are disturbed.
    StoreWay(usize, Disturbance),
    /// The connections from callers to an instance are disturbed.
    CallerWay(usize, Disturbance),
    /// The connections to a target are disturbed.
    TargetWay(usize, Disturbance),
    /// The store misbehaves towards all instances.
    Store(StoreTrouble),
    /// The store drops its history of changes.
    Compact,
    /// A target crashes, and is replaced by one with another name.
    Crash(usize),
    /// A target misbehaves towards a part of its requests.
    Moody(usize, TargetTrouble),
    /// A target restarts under the same name and address; its open connections are dead.
    Restart(usize),
    /// Another client of the store overwrites a target's entry with a malformed value.
    Overwrite(usize),
    /// A target announces a limit of its requests, in tenths of a request per second.
    Limit(usize, u32),
    /// A target announces only in its responses that it is leaving, and is replaced by another one.
    LeaveUnpublished(usize),
}

/// A trouble with its start and duration.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Step {
    /// Start, in ms from the start of the load.
    pub at_ms: u64,
    /// Duration, in ms; ignored for troubles that happen at a moment.
    pub for_ms: u64,
    /// Kind of the trouble and what it affects.
    pub trouble: Trouble,
}

/// All troubles of a run, as drawn by its seed.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// Whether the run has planned work only, without faults.
    pub is_planned: bool,
    /// Steps in order of their start.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws the plan of a seed. The same seed and parameters give the same plan.
    pub fn draw(seed: u64, parameters: RunParameters) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let is_planned = seed.is_multiple_of(PLANNED_SEED_INTERVAL);
        let count =
            (parameters.length_ms as f64 / 1_000.0 * parameters.troubles_per_s).ceil() as usize;
        let mut steps: Vec<Step> = (0..count)
            .map(|_| draw_step(&mut rng, parameters, is_planned))
            .collect();
        if !is_planned {
            steps.extend(draw_restarts(seed, parameters));
        }
        steps.extend(draw_notices(seed, parameters, is_planned));
        if parameters.shutdowns_per_s > 0.0 {
            steps.iter_mut().for_each(extend_leaving);
            steps.extend(draw_shutdowns(seed, parameters));
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { is_planned, steps }
    }
}

/// Has a target that leaves stay until the longest streams are over.
fn extend_leaving(step: &mut Step) {
    if matches!(
        step.trouble,
        Trouble::Replace(_) | Trouble::LeaveUnpublished(_)
    ) {
        step.for_ms += MAX_STREAM_MS;
    }
}

/// Draws restarts and overwritten entries of targets, from a random sequence of their own: the other troubles
/// of a seed are the same with and without them.
fn draw_restarts(seed: u64, parameters: RunParameters) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let count = (parameters.length_ms as f64 / 1_000.0 * parameters.restarts_per_s).ceil() as usize;
    let mut draw = || {
        let target = rng.usize(..parameters.targets);
        Step {
            at_ms: rng.u64(..parameters.length_ms),
            for_ms: rng.u64(TROUBLE_DURATION_MS),
            trouble: if rng.bool() {
                Trouble::Restart(target)
            } else {
                Trouble::Overwrite(target)
            },
        }
    };
    (0..count).map(|_| draw()).collect()
}

/// Draws announcements of targets, from a random sequence of their own as well.
///
/// Planned work has no target that refuses requests for a while: memory reserved at it expires instead of
/// being released, which the check of planned work would report.
fn draw_notices(seed: u64, parameters: RunParameters, is_planned: bool) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(1));
    let count = (parameters.length_ms as f64 / 1_000.0 * parameters.notices_per_s).ceil() as usize;
    let kinds = if is_planned { 2 } else { 3 };
    let mut draw = || {
        let target = rng.usize(..parameters.targets);
        let drawn_ms = rng.u64(TROUBLE_DURATION_MS);
        let (trouble, min_ms) = match rng.u8(..kinds) {
            0 => (Trouble::Limit(target, rng.u32(LIMIT_TENTHS)), MIN_LIMIT_MS),
            1 => (Trouble::LeaveUnpublished(target), MIN_LEAVING_MS),
            _ => (Trouble::Moody(target, TargetTrouble::Pausing), 0),
        };
        Step {
            at_ms: rng.u64(..parameters.length_ms),
            for_ms: min_ms + drawn_ms,
            trouble,
        }
    };
    (0..count).map(|_| draw()).collect()
}

fn draw_step(rng: &mut fastrand::Rng, parameters: RunParameters, is_planned: bool) -> Step {
    let at_ms = rng.u64(..parameters.length_ms);
    let drawn_ms = rng.u64(TROUBLE_DURATION_MS);
    let trouble = draw_trouble(rng, parameters, is_planned);
    let for_ms = match trouble {
        Trouble::Replace(_) => MIN_LEAVING_MS + drawn_ms,
        _ => drawn_ms,
    };
    Step {
        at_ms,
        for_ms,
        trouble,
    }
}

fn draw_trouble(rng: &mut fastrand::Rng, parameters: RunParameters, is_planned: bool) -> Trouble {
    let instance = rng.usize(..parameters.instances);
    let target = rng.usize(..parameters.targets);
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
        10 => Trouble::Store(draw_store_trouble(rng)),
        11 => Trouble::Compact,
        12 => Trouble::Crash(target),
        _ => Trouble::Moody(target, draw_target_trouble(rng)),
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

fn draw_store_trouble(rng: &mut fastrand::Rng) -> StoreTrouble {
    match rng.u8(..3) {
        0 => StoreTrouble::Busy,
        1 => StoreTrouble::Throttled,
        _ => StoreTrouble::Closing,
    }
}

fn draw_target_trouble(rng: &mut fastrand::Rng) -> TargetTrouble {
    match rng.u8(..6) {
        0 => TargetTrouble::Shedding,
        1 => TargetTrouble::Losing,
        2 => TargetTrouble::Breaking,
        3 => TargetTrouble::Hanging,
        4 => TargetTrouble::Doubling,
        _ => TargetTrouble::Unsealed,
    }
}
