use {
    crate::{
        finding::Finding,
        flag::Flag,
        ledger::{Outcome, lock},
        load::Load,
        options::Options,
        plan::{Plan, Size, Trouble},
        promises::{Evidence, judge, kept_memory},
        world::{TIMEOUT_MS, World},
    },
    serde::Serialize,
    std::{
        fs, io,
        path::PathBuf,
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Most that all instances need to be ready; a bound against hanging, far over what they take.
const READY: Duration = Duration::from_secs(30);
/// Most that memory needs to be given back after the end of the load; a bound against hanging.
const SETTLED: Duration = Duration::from_secs(5);
/// Time between two looks at processes and readiness.
const LOOK: Duration = Duration::from_millis(20);
/// Time after a route's for an answer, when the clock is held against it.
const LATE: Duration = Duration::from_secs(1);

/// A run that was played.
#[derive(Debug, Serialize)]
pub struct Played {
    /// Its seed.
    pub seed: u64,
    /// Whether it had planned work only.
    pub is_planned: bool,
    /// Number of troubles.
    pub troubles: usize,
    /// Number of requests.
    pub requests: usize,
    /// Those that a target answered with success.
    pub served: usize,
    /// Those that were refused as not run.
    pub refused: usize,
    /// Versions of the configuration that were published.
    pub versions: u64,
    /// Promises that weren't kept.
    pub findings: Vec<Finding>,
}

/// Plays a run, or less of it once it is stopped. Its files are kept if there are findings.
///
/// # Errors
/// The machine lacks something: a port, the program, room for the files.
pub fn play(seed: u64, options: &Options, is_stopped: &Flag) -> io::Result<Played> {
    let folder = options
        .keep
        .join(format!("seed-{seed}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let size = Size {
        length_ms: options.seconds * 1_000,
        troubles_per_s: options.troubles_per_s,
        restarts_per_s: options.restarts_per_s,
        notices_per_s: options.notices_per_s,
        instances: options.instances,
        targets: 2 * options.targets,
    };
    let plan = Plan::draw(seed, size);
    let world = World::start(options, &folder)?;
    let stage = Stage {
        world: &world,
        findings: Mutex::default(),
        is_over: Flag::default(),
        is_stopped,
    };
    stage.perform(seed, &plan, options)?;
    let mut findings = stage.findings.into_inner().unwrap_or_default();
    let evidence = Evidence {
        is_planned: plan.is_planned,
        asked: world.ledger.asked(),
        runs: world.ledger.runs(),
        orders: world.orders(),
        limited: if options.timed {
            world.limited()
        } else {
            Vec::new()
        },
        due: options
            .timed
            .then_some(Duration::from_millis(TIMEOUT_MS) + LATE),
    };
    findings.extend(judge(&evidence));
    let count = |is_counted: fn(&Outcome) -> bool| {
        let outcomes = evidence.asked.iter().map(|asked| &asked.outcome);
        outcomes.filter(|outcome| is_counted(outcome)).count()
    };
    let played = Played {
        seed,
        is_planned: plan.is_planned,
        troubles: plan.steps.len(),
        requests: evidence.asked.len(),
        served: count(|outcome| matches!(outcome, Outcome::Answered { status: 200, .. })),
        refused: count(|outcome| matches!(outcome, Outcome::Answered { status: 503, .. })),
        versions: world.version(),
        findings,
    };
    drop(world);
    keep_or_remove(&folder, &plan, &played)?;
    Ok(played)
}

fn keep_or_remove(folder: &PathBuf, plan: &Plan, played: &Played) -> io::Result<()> {
    if played.findings.is_empty() {
        return fs::remove_dir_all(folder);
    }
    fs::write(folder.join("plan.json"), serde_json::to_vec_pretty(plan)?)?;
    fs::write(
        folder.join("played.json"),
        serde_json::to_vec_pretty(played)?,
    )
}

struct Stage<'a> {
    world: &'a World,
    findings: Mutex<Vec<Finding>>,
    is_over: Flag,
    is_stopped: &'a Flag,
}

impl Stage<'_> {
    fn perform(&self, seed: u64, plan: &Plan, options: &Options) -> io::Result<()> {
        let is_done = Flag::default();
        thread::scope(|scope| {
            let supervisor = scope.spawn(|| self.supervise(&is_done));
            self.wait_until_ready("before the load");
            let callers: Vec<_> = (0..options.callers as u64)
                .map(|number| scope.spawn(move || self.call(seed ^ (number << 32))))
                .collect();
            let done = self.strike(plan);
            self.wait_until_ready("after all troubles have ended");
            self.is_over.set();
            for caller in callers {
                if caller.join().is_err() {
                    self.note("callers understand answers", "a caller panicked".to_owned());
                }
            }
            self.must_serve();
            if plan.is_planned {
                self.wait_until_settled();
            }
            is_done.set();
            let supervised = supervisor.join().unwrap_or(Ok(()));
            done.and(supervised)
        })
    }

    fn note(&self, promise: &'static str, seen: String) {
        lock(&self.findings).push(Finding::new(promise, seen));
    }

    fn call(&self, seed: u64) {
        Load::new(self.world, seed).run(&self.is_over);
    }

    fn supervise(&self, is_done: &Flag) -> io::Result<()> {
        while !is_done.wait(LOOK) {
            let found = self.world.supervise()?;
            lock(&self.findings).extend(found);
        }
        Ok(())
    }

    /// Begins and ends all troubles at their times.
    fn strike(&self, plan: &Plan) -> io::Result<()> {
        let mut moments: Vec<(u64, bool, Trouble)> = plan
            .steps
            .iter()
            .flat_map(|step| {
                let ends_ms = step.at_ms + step.for_ms;
                [
                    (step.at_ms, true, step.trouble),
                    (ends_ms, false, step.trouble),
                ]
            })
            .collect();
        moments.sort_by_key(|(at_ms, ..)| *at_ms);
        let began = Instant::now();
        for (at_ms, begins, trouble) in moments {
            let at = Duration::from_millis(at_ms);
            if self.is_stopped.wait(at.saturating_sub(began.elapsed())) {
                return Ok(());
            }
            if begins {
                self.world.begin(trouble)?;
            } else {
                self.world.end(trouble)?;
            }
        }
        Ok(())
    }

    /// Looks until something holds that processes bring about. Returns whether it came to that, or the
    /// run is stopped. What other processes do can't be waited for otherwise; the bound only ends a run
    /// in which it never comes.
    fn wait_until(&self, most: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let began = Instant::now();
        while !holds() {
            if began.elapsed() > most {
                return false;
            }
            if self.is_stopped.wait(LOOK) {
                return true;
            }
        }
        true
    }

    fn wait_until_ready(&self, when: &str) {
        for instance in 0..self.world.instances() {
            if !self.wait_until(READY, || self.world.is_ready(instance)) {
                let seen = format!("instance {instance} is not ready {when}");
                return self.note("service comes back", seen);
            }
        }
    }

    /// Waits for the orders that follow the end of prompts, where no process died that would give them.
    fn wait_until_settled(&self) {
        let is_given_back = || {
            let orders = self.world.orders();
            orders.iter().all(|orders| kept_memory(orders).is_empty())
        };
        // What isn't given back is told with the other evidence.
        let _in_time = self.wait_until(SETTLED, is_given_back);
    }

    /// Each instance serves again now that all is well.
    fn must_serve(&self) {
        for instance in 0..self.world.instances() {
            let mut caller = Load::new(self.world, 0);
            if !self.wait_until(READY, || caller.is_served_by(instance)) {
                let seen = format!("instance {instance} serves nothing");
                return self.note("service comes back", seen);
            }
        }
    }
}
