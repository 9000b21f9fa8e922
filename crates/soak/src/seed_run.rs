//! The run of one seed: load, troubles and the checks after them.

use {
    crate::{
        environment::{Environment, TIMEOUT_MS},
        finding::Finding,
        flag::Flag,
        observations::{Outcome, lock},
        options::Options,
        plan::{Plan, RunParameters, Trouble},
        promises::{Evidence, check_promises, count_excused, unreleased_memory},
        simulated_caller::SimulatedCaller,
        stops::{Excuse, Shutdowns},
    },
    serde::Serialize,
    std::{
        collections::BTreeMap,
        fs, io,
        path::PathBuf,
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Longest wait for an instance to be ready; a bound against hanging, far over the usual time.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for memory to be released after the end of the load; a bound against hanging.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which processes and conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time beyond the route's timeout that a response may take where times are checked.
const RESPONSE_TOLERANCE: Duration = Duration::from_secs(1);

/// Result of a run; its fields are the keys of the line that the program prints.
#[derive(Debug, Serialize)]
pub struct RunReport {
    /// Seed that drew the plan.
    pub seed: u64,
    /// Whether the run had planned work only, without faults.
    pub is_planned: bool,
    /// Number of troubles in the plan, planned work included.
    pub troubles: usize,
    /// Number of finished requests.
    pub requests: usize,
    /// Number of requests with status 200.
    pub served: usize,
    /// Number of requests with status 503, by which an instance or a target refuses a request as not run.
    pub refused: usize,
    /// Number of requests in planned work that ended without a complete answer and are no findings, by the reason.
    pub excused: BTreeMap<Excuse, usize>,
    /// Number of stops of instances by signal.
    pub stops: usize,
    /// Number of versions of the configuration that were published.
    pub versions: u64,
    /// Promises that the run broke.
    pub findings: Vec<Finding>,
}

/// Runs the plan of a seed, cut short if `is_stopped` is set. Keeps the run's files if there are findings.
///
/// # Errors
/// A port, the program or space for the files is missing.
pub fn run_seed(seed: u64, options: &Options, is_stopped: &Flag) -> io::Result<RunReport> {
    let folder = options
        .keep
        .join(format!("seed-{seed}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let parameters = RunParameters {
        length_ms: options.seconds * 1_000,
        troubles_per_s: options.troubles_per_s,
        restarts_per_s: options.restarts_per_s,
        notices_per_s: options.notices_per_s,
        shutdowns_per_s: options.shutdowns_per_s,
        instances: options.instances,
        targets: 2 * options.targets,
    };
    let plan = Plan::draw(seed, parameters);
    let environment = Environment::start(options, plan.is_planned, &folder)?;
    let run = SeedRun {
        environment: &environment,
        findings: Mutex::default(),
        is_over: Flag::default(),
        is_stopped,
    };
    run.execute(seed, &plan, options)?;
    let mut findings = run.findings.into_inner().unwrap_or_default();
    let evidence = Evidence {
        is_planned: plan.is_planned,
        requests: environment.observations.requests(),
        runs: environment.observations.runs(),
        orders: environment.orders(),
        limited: if options.timed {
            environment.limited_periods()
        } else {
            Vec::new()
        },
        shutdowns: (options.shutdowns_per_s > 0.0).then(|| Shutdowns {
            stops: environment.stops(),
            are_timed: options.timed,
        }),
        max_response_time: options
            .timed
            .then_some(Duration::from_millis(TIMEOUT_MS) + RESPONSE_TOLERANCE),
    };
    findings.extend(check_promises(&evidence));
    let count = |is_counted: fn(&Outcome) -> bool| {
        let outcomes = evidence.requests.iter().map(|request| &request.outcome);
        outcomes.filter(|outcome| is_counted(outcome)).count()
    };
    let report = RunReport {
        seed,
        is_planned: plan.is_planned,
        troubles: plan.steps.len(),
        requests: evidence.requests.len(),
        served: count(|outcome| matches!(outcome, Outcome::Answered { status: 200, .. })),
        refused: count(|outcome| matches!(outcome, Outcome::Answered { status: 503, .. })),
        excused: count_excused(&evidence),
        stops: environment.stops().len(),
        versions: environment.version(),
        findings,
    };
    drop(environment);
    keep_or_remove(&folder, &plan, &report)?;
    Ok(report)
}

/// Removes the folder of a run without findings. Otherwise adds the plan and the report to it.
fn keep_or_remove(folder: &PathBuf, plan: &Plan, report: &RunReport) -> io::Result<()> {
    if report.findings.is_empty() {
        return fs::remove_dir_all(folder);
    }
    fs::write(folder.join("plan.json"), serde_json::to_vec_pretty(plan)?)?;
    fs::write(
        folder.join("played.json"),
        serde_json::to_vec_pretty(report)?,
    )
}

/// State that the threads of a run share.
struct SeedRun<'a> {
    environment: &'a Environment,
    findings: Mutex<Vec<Finding>>,
    /// Set at the end of the load.
    is_over: Flag,
    /// Set by a signal to the program.
    is_stopped: &'a Flag,
}

impl SeedRun<'_> {
    fn execute(&self, seed: u64, plan: &Plan, options: &Options) -> io::Result<()> {
        let is_done = Flag::default();
        thread::scope(|scope| {
            let supervisor = scope.spawn(|| self.supervise(&is_done));
            self.wait_until_ready("before the load");
            let callers: Vec<_> = (0..options.callers as u64)
                .map(|number| scope.spawn(move || self.run_caller(seed ^ (number << 32), options)))
                .collect();
            let injected = self.inject_troubles(plan);
            self.wait_until_ready("after all troubles have ended");
            self.is_over.set();
            for caller in callers {
                if caller.join().is_err() {
                    self.add_finding("callers understand answers", "a caller panicked".to_owned());
                }
            }
            self.check_all_serve();
            if plan.is_planned {
                self.wait_until_memory_released();
            }
            is_done.set();
            let supervised = supervisor.join().unwrap_or(Ok(()));
            injected.and(supervised)
        })
    }

    fn add_finding(&self, promise: &'static str, seen: String) {
        lock(&self.findings).push(Finding::new(promise, seen));
    }

    fn run_caller(&self, seed: u64, options: &Options) {
        let mut caller = if options.shutdowns_per_s > 0.0 {
            SimulatedCaller::new_for_shutdowns(self.environment, seed)
        } else {
            SimulatedCaller::new(self.environment, seed)
        };
        caller.run(&self.is_over);
    }

    fn supervise(&self, is_done: &Flag) -> io::Result<()> {
        while !is_done.wait(POLL_INTERVAL) {
            let found = self.environment.supervise()?;
            lock(&self.findings).extend(found);
        }
        Ok(())
    }

    /// Begins and ends all troubles of the plan at their times.
    fn inject_troubles(&self, plan: &Plan) -> io::Result<()> {
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
                self.environment.begin_trouble(trouble)?;
            } else {
                self.environment.end_trouble(trouble)?;
            }
        }
        Ok(())
    }

    /// Polls a condition that depends on other processes, which send no notification of it. Returns true if
    /// the condition holds or the run is stopped, and false after `timeout`, a bound against hanging.
    fn wait_until(&self, timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let began = Instant::now();
        while !condition() {
            if began.elapsed() > timeout {
                return false;
            }
            if self.is_stopped.wait(POLL_INTERVAL) {
                return true;
            }
        }
        true
    }

    fn wait_until_ready(&self, when: &str) {
        for instance in 0..self.environment.instance_count() {
            if !self.wait_until(READY_TIMEOUT, || self.environment.is_ready(instance)) {
                let seen = format!("instance {instance} is not ready {when}");
                return self.add_finding("service comes back", seen);
            }
        }
    }

    /// Waits until the memory of finished prompts is released. Only for runs with planned work, in which every
    /// process lives long enough to send the orders for it.
    fn wait_until_memory_released(&self) {
        let is_released = || {
            let orders = self.environment.orders();
            orders
                .iter()
                .all(|orders| unreleased_memory(orders).is_empty())
        };
        // `check_promises` reports memory that isn't released by then.
        let _in_time = self.wait_until(RELEASE_TIMEOUT, is_released);
    }

    /// Checks that each instance serves a call after the end of all troubles.
    fn check_all_serve(&self) {
        for instance in 0..self.environment.instance_count() {
            let mut caller = SimulatedCaller::new(self.environment, 0);
            if !self.wait_until(READY_TIMEOUT, || caller.is_served_by(instance)) {
                let seen = format!("instance {instance} serves nothing");
                return self.add_finding("service comes back", seen);
            }
        }
    }
}
