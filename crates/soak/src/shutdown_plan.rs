use {
    crate::plan::{Disturbance, RunParameters, Step, Trouble},
    fastrand::Rng,
    std::ops::Range,
};

/// Range of the time between two stops of a rolling series, in ms; shorter where the run would end before it.
const STOP_GAP_MS: Range<u64> = 100..1_500;
/// Range of the time from a stop to the next signal to the same process, in ms; most still run by then.
const REPEAT_DELAY_MS: Range<u64> = 50..4_000;
/// Range of the duration of a target's silence, in ms. A sound target may be silent for so long.
const SILENCE_MS: Range<u64> = 1_000..1_300;
/// Range of the number of reloads and new configurations beside a series of stops.
const CHANGES: Range<usize> = 1..4;

/// Draws series of stops with changes beside them, and silences of targets, from a random sequence of their own: the
/// other troubles of a seed are the same with and without them.
pub fn draw_shutdowns(seed: u64, parameters: RunParameters) -> Vec<Step> {
    let mut rng = Rng::with_seed(seed.rotate_left(32));
    let length_s = parameters.length_ms as f64 / 1_000.0;
    let count = (length_s * parameters.shutdowns_per_s).ceil() as usize;
    let mut steps = Vec::new();
    for _ in 0..count {
        let at_ms = rng.u64(..parameters.length_ms);
        match rng.u8(..6) {
            0 | 1 => steps.extend(draw_rolling_stops(&mut rng, parameters, at_ms)),
            2 => steps.extend(draw_common_stop(&mut rng, parameters, at_ms)),
            3 => steps.extend(draw_repeated_stop(&mut rng, parameters, at_ms)),
            _ => steps.extend(draw_silences(&mut rng, parameters, at_ms)),
        }
    }
    steps
}

/// Stops all instances one after the other.
fn draw_rolling_stops(rng: &mut Rng, parameters: RunParameters, at_ms: u64) -> Vec<Step> {
    let instances = parameters.instances;
    let max_gap_ms = parameters.length_ms / instances as u64;
    let gap_ms = rng.u64(STOP_GAP_MS).min(max_gap_ms);
    let first = rng.usize(..instances);
    let stop = |n| {
        let stopped_at_ms = at_ms + n as u64 * gap_ms;
        moment(stopped_at_ms, Trouble::Terminate((first + n) % instances))
    };
    let mut steps: Vec<Step> = (0..instances).map(stop).collect();
    steps.extend(draw_changes(
        rng,
        instances,
        at_ms,
        instances as u64 * gap_ms,
    ));
    steps
}

/// Stops all instances at once.
fn draw_common_stop(rng: &mut Rng, parameters: RunParameters, at_ms: u64) -> Vec<Step> {
    let instances = parameters.instances;
    let stop = |instance| moment(at_ms, Trouble::Terminate(instance));
    let mut steps: Vec<Step> = (0..instances).map(stop).collect();
    steps.extend(draw_changes(rng, instances, at_ms, REPEAT_DELAY_MS.end));
    steps
}

/// Stops an instance and signals it again.
fn draw_repeated_stop(rng: &mut Rng, parameters: RunParameters, at_ms: u64) -> [Step; 2] {
    let stop = Trouble::Terminate(rng.usize(..parameters.instances));
    [
        moment(at_ms, stop),
        moment(at_ms + rng.u64(REPEAT_DELAY_MS), stop),
    ]
}

fn draw_changes(rng: &mut Rng, instances: usize, from_ms: u64, span_ms: u64) -> Vec<Step> {
    let count = rng.usize(CHANGES);
    let mut draw = || {
        let change = if rng.bool() {
            Trouble::Configure
        } else {
            Trouble::Reload(rng.usize(..instances))
        };
        moment(from_ms + rng.u64(..span_ms.max(1)), change)
    };
    (0..count).map(|_| draw()).collect()
}

/// Has all engines, or some of all targets, carry no bytes for a while and go on.
fn draw_silences(rng: &mut Rng, parameters: RunParameters, at_ms: u64) -> Vec<Step> {
    let for_ms = rng.u64(SILENCE_MS);
    let are_all_engines = rng.bool();
    let silent = (0..parameters.targets).filter(|target| {
        if are_all_engines {
            target.is_multiple_of(2)
        } else {
            rng.bool()
        }
    });
    let silence = |target| Step {
        at_ms,
        for_ms,
        trouble: Trouble::TargetWay(target, Disturbance::Hold),
    };
    silent.map(silence).collect()
}

fn moment(at_ms: u64, trouble: Trouble) -> Step {
    Step {
        at_ms,
        for_ms: 0,
        trouble,
    }
}
