//! Checks of the system's promises against what callers and targets observed.

use {
    crate::{
        finding::Finding,
        observations::{InstanceRun, Outcome, RequestKind, RequestRecord, Run},
        stops::{Excuse, Shutdowns},
        target::{DOUBLED_BODY, LimitedPeriod, event_count},
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::{ACCOUNT, echo_event},
};

/// Statuses that guarantee that a request hasn't run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Largest number of attempts of a request that may run more than once, as the routes set it.
const MAX_ATTEMPTS: usize = 2;
/// Time window over which the operators count the requests to a target with a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the operators tolerate requests beyond the limit.
const LIMIT_TOLERANCE: f64 = 1.5;
/// Requests that they tolerate in addition to the factor.
const LIMIT_BURST: f64 = 5.0;
/// Findings of a promise that are reported one by one; the others are only counted.
const MAX_REPORTED_FINDINGS: usize = 5;

/// Observations of a run.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// Whether the run had planned work only, which may cut no request off.
    pub is_planned: bool,
    /// All finished requests.
    pub requests: Vec<RequestRecord>,
    /// All executions by targets, by the id of the request.
    pub runs: HashMap<String, Vec<Run>>,
    /// Bodies of the orders that each target received.
    pub orders: Vec<Vec<String>>,
    /// Arrivals at targets while they announced a limit; empty if times aren't checked.
    pub limited: Vec<LimitedPeriod>,
    /// Stops of instances; `None` if the run has no series of them.
    pub shutdowns: Option<Shutdowns>,
    /// Longest time that a response may take; `None` if times aren't checked.
    pub max_response_time: Option<Duration>,
}

impl Evidence {
    /// Returns the executions of a request by targets.
    fn runs_of(&self, request: &RequestRecord) -> &[Run] {
        self.runs.get(&request.id).map_or(&[], Vec::as_slice)
    }
}

/// Counts the requests that a run with planned work cut off for a reason that is no fault.
pub fn count_excused(evidence: &Evidence) -> BTreeMap<Excuse, usize> {
    let mut counts = BTreeMap::new();
    let shutdowns = evidence.shutdowns.iter().filter(|_| evidence.is_planned);
    let excused = shutdowns.flat_map(|shutdowns| {
        evidence.requests.iter().filter_map(|request| {
            let runs = evidence.runs_of(request);
            let is_cut_off = is_cut_off(request, runs);
            is_cut_off.then(|| shutdowns.excuse(request, runs))?
        })
    });
    for excuse in excused {
        *counts.entry(excuse).or_default() += 1;
    }
    counts
}

/// Checks all promises. Returns the findings, shortened to a few for each promise.
pub fn check_promises(evidence: &Evidence) -> Vec<Finding> {
    let mut findings = Vec::new();
    for request in &evidence.requests {
        let runs = evidence.runs_of(request);
        let found = [
            check_run_count(request, runs),
            check_refusal(request, runs),
            check_response_body(request),
            check_route_served(request),
            check_forwarded_unchanged(request, runs),
            check_not_cut_off(evidence, request, runs),
            check_response_time(evidence, request),
        ];
        findings.extend(found.into_iter().flatten());
    }
    findings.extend(check_runs_were_requested(evidence));
    findings.extend(check_versions_increase(&evidence.requests));
    findings.extend(check_memory_released(evidence));
    findings.extend(check_leaving_targets(evidence));
    findings.extend(check_limits(evidence));
    let planned_shutdowns = evidence.shutdowns.iter().filter(|_| evidence.is_planned);
    findings.extend(planned_shutdowns.flat_map(|shutdowns| shutdowns.check(&evidence.requests)));
    cap_findings(findings)
}

fn check_run_count(request: &RequestRecord, runs: &[Run]) -> Option<Finding> {
    let max_runs = if request.kind == RequestKind::Unsafe {
        1
    } else {
        MAX_ATTEMPTS
    };
    let seen = || {
        format!(
            "{} ({:?}) ran {} times: {runs:?}",
            request.id,
            request.kind,
            runs.len()
        )
    };
    (runs.len() > max_runs).then(|| Finding::new("runs as often as it may", seen()))
}

fn check_refusal(request: &RequestRecord, runs: &[Run]) -> Option<Finding> {
    let Outcome::Answered { status, .. } = request.outcome else {
        return None;
    };
    let is_false = request.kind == RequestKind::Unsafe
        && NOT_RUN_STATUSES.contains(&status)
        && !runs.is_empty();
    let seen = || format!("{} was answered {status} and ran: {runs:?}", request.id);
    is_false.then(|| Finding::new("a refusal is true", seen()))
}

/// Checks that a success is sealed and carries this request's own body.
fn check_response_body(request: &RequestRecord) -> Option<Finding> {
    let Outcome::Answered {
        status: 200..300,
        is_sealed,
        is_whole,
        body,
        ..
    } = &request.outcome
    else {
        return None;
    };
    let is_right = match request.kind {
        RequestKind::Stream => is_own_stream(&request.id, body, *is_whole),
        RequestKind::Safe | RequestKind::Unsafe | RequestKind::Probe { .. } => {
            !is_whole || *body == request.id || body == DOUBLED_BODY
        }
    };
    let seen = || {
        format!(
            "{} ({:?}) sealed={is_sealed} whole={is_whole} got {body:?}",
            request.id, request.kind
        )
    };
    (!is_right || !is_sealed).then(|| Finding::new("an answer is whole and one's own", seen()))
}

/// Returns whether the stream has its events once and in order, and all of them if it is complete.
fn is_own_stream(id: &str, body: &str, is_whole: bool) -> bool {
    let events: Vec<String> = (1..=event_count(id))
        .map(|number| format!("id: {number}\ndata: {}\n\n", echo_event(id, number)))
        .collect();
    let expected = events.concat();
    if is_whole {
        body == expected
    } else {
        expected.starts_with(body)
    }
}

fn check_route_served(request: &RequestRecord) -> Option<Finding> {
    let Outcome::Answered { status, .. } = request.outcome else {
        return None;
    };
    let is_entry_error = matches!(status, 300..500) && !NOT_RUN_STATUSES.contains(&status);
    let is_probe = matches!(request.kind, RequestKind::Probe { .. });
    let seen = || format!("{} ({:?}) was answered {status}", request.id, request.kind);
    (is_entry_error && !is_probe).then(|| Finding::new("a published route is served", seen()))
}

fn check_forwarded_unchanged(request: &RequestRecord, runs: &[Run]) -> Option<Finding> {
    let wrong = runs
        .iter()
        .find(|run| run.path != request.path || run.account != ACCOUNT || run.has_key)?;
    let seen = format!("{} reached a target as {wrong:?}", request.id);
    Some(Finding::new("a request reaches targets unchanged", seen))
}

/// Checks that planned work cuts no request off. A request on a reused connection that crosses the
/// connection's close and reaches no target is exempt: its caller has to send it again.
fn check_not_cut_off(
    evidence: &Evidence,
    request: &RequestRecord,
    runs: &[Run],
) -> Option<Finding> {
    if !evidence.is_planned || !is_cut_off(request, runs) {
        return None;
    }
    let shutdowns = evidence.shutdowns.as_ref();
    let excuse = shutdowns.and_then(|shutdowns| shutdowns.excuse(request, runs));
    if excuse.is_some() {
        return None;
    }
    let seen = format!(
        "{} ({:?}) at {:?} ended as {:?} after {:?}, with runs {runs:?}",
        request.id,
        request.kind,
        request.run,
        request.outcome,
        request.ended_at - request.sent_at
    );
    Some(Finding::new("planned work cuts nothing off", seen))
}

/// Returns whether a request ended without a complete answer of its own.
fn is_cut_off(request: &RequestRecord, runs: &[Run]) -> bool {
    match &request.outcome {
        Outcome::NotSent | Outcome::Closed => !(request.on_reused_connection && runs.is_empty()),
        Outcome::Silent => true,
        Outcome::Left => false,
        Outcome::Answered {
            status, is_whole, ..
        } => !is_whole || matches!(status, 500 | 502 | 504),
    }
}

fn check_response_time(evidence: &Evidence, request: &RequestRecord) -> Option<Finding> {
    let max_time = evidence.max_response_time.filter(|_| evidence.is_planned)?;
    let took = request.ended_at - request.sent_at;
    let seen = || format!("{} ({:?}) took {took:?}", request.id, request.kind);
    (took > max_time).then(|| Finding::new("an answer is in time", seen()))
}

/// Checks that targets ran only requests that a caller sent.
fn check_runs_were_requested(evidence: &Evidence) -> Vec<Finding> {
    let sent: HashSet<&str> = evidence
        .requests
        .iter()
        .map(|request| request.id.as_str())
        .collect();
    let unknown = evidence
        .runs
        .iter()
        .filter(|(id, _)| !sent.contains(id.as_str()));
    unknown
        .map(|(id, runs)| {
            Finding::new(
                "nothing is made up",
                format!("{id} ran, but no caller sent it: {runs:?}"),
            )
        })
        .collect()
}

/// Checks that the configuration of an instance's run never reverts. A response from a route that only one
/// version has shows that this version was active; an older one must not serve a later request to the same run.
fn check_versions_increase(requests: &[RequestRecord]) -> Vec<Finding> {
    let mut served: HashMap<InstanceRun, Vec<(Instant, Instant, u64)>> = HashMap::new();
    for probe in requests {
        let RequestKind::Probe { version } = probe.kind else {
            continue;
        };
        let is_served = matches!(
            probe.outcome,
            Outcome::Answered {
                status: 200..300,
                ..
            }
        );
        if let (Some(run), true) = (probe.run, is_served) {
            let span = (probe.sent_at, probe.ended_at, version);
            served.entry(run).or_default().push(span);
        }
    }
    let mut findings = Vec::new();
    for (run, spans) in served {
        for (_, ended_at, newer) in &spans {
            let reverted = spans
                .iter()
                .find(|(sent_at, _, version)| version < newer && sent_at > ended_at);
            if let Some((_, _, older)) = reverted {
                let seen = format!("{run:?} served by version {older} after version {newer}");
                findings.push(Finding::new("a configuration never reverts", seen));
            }
        }
    }
    findings
}

/// Checks that a run of an instance sends no new requests to a target that announced its leaving in a
/// response through this run.
fn check_leaving_targets(evidence: &Evidence) -> Vec<Finding> {
    let mut announced: HashMap<(InstanceRun, &str), Instant> = HashMap::new();
    for request in evidence
        .requests
        .iter()
        .filter(|request| request.announces_leaving)
    {
        let runs = evidence.runs_of(request);
        if let (Some(run), [only]) = (request.run, runs) {
            let first = announced
                .entry((run, &only.target))
                .or_insert(request.ended_at);
            *first = request.ended_at.min(*first);
        }
    }
    let mut findings = Vec::new();
    for request in &evidence.requests {
        let Some(instance) = request.run else {
            continue;
        };
        let runs = evidence.runs.get(&request.id).into_iter().flatten();
        let late = runs.filter(|run| {
            let first = announced.get(&(instance, run.target.as_str()));
            first.is_some_and(|first| request.sent_at > *first)
        });
        findings.extend(late.map(|run| {
            let seen = format!("{} reached {} through {instance:?}", request.id, run.target);
            Finding::new("a leaving target gets nothing new", seen)
        }));
    }
    findings
}

/// Checks the limits that targets announced, in runs with planned work only: there, an instance that starts
/// learns of a limit from its peers. After faults, an instance may exceed a limit because it has just started or
/// just learnt of the limit.
fn check_limits(evidence: &Evidence) -> Vec<Finding> {
    if !evidence.is_planned {
        return Vec::new();
    }
    let allowed = |per_s: f64| LIMIT_TOLERANCE * LIMIT_WINDOW.as_secs_f64() * per_s + LIMIT_BURST;
    let counted = evidence.limited.iter().map(|limited| {
        let arrived = max_within(&limited.arrived_at, LIMIT_WINDOW);
        (limited, arrived)
    });
    counted
        .filter(|(limited, arrived)| *arrived as f64 > allowed(limited.per_s))
        .map(|(limited, arrived)| {
            let seen = format!("{arrived} in four seconds at {} a second", limited.per_s);
            Finding::new("a limit is kept", seen)
        })
        .collect()
}

/// Returns the largest number of moments within any window of a length. The moments are in order.
fn max_within(moments: &[Instant], length: Duration) -> usize {
    let ends = moments.iter().enumerate();
    ends.map(|(end, at)| {
        let first = moments.partition_point(|other| *other + length <= *at);
        end + 1 - first
    })
    .max()
    .unwrap_or(0)
}

/// Checks that all reserved memory is released, in runs with planned work only: after a kill, it expires
/// instead. So it does after the end of a grace time, once for each request that this cuts off.
fn check_memory_released(evidence: &Evidence) -> Vec<Finding> {
    if !evidence.is_planned {
        return Vec::new();
    }
    let unreleased: HashSet<String> = evidence
        .orders
        .iter()
        .flat_map(|orders| unreleased_memory(orders))
        .collect();
    let expiring = count_excused(evidence).remove(&Excuse::OutlastsGrace);
    if unreleased.len() <= expiring.unwrap_or(0) {
        return Vec::new();
    }
    let seen = format!(
        "{} reservations were never released: {unreleased:?}",
        unreleased.len()
    );
    vec![Finding::new("memory comes back", seen)]
}

/// Returns the ids of reservations that a target was ordered to make and not to release.
pub fn unreleased_memory(orders: &[String]) -> Vec<String> {
    let with = |operation: &str| -> HashSet<String> {
        orders
            .iter()
            .filter_map(|order| serde_json::from_str::<serde_json::Value>(order).ok())
            .filter(|order| order["Operation"] == operation)
            .filter_map(|order| order["Id"].as_str().map(str::to_owned))
            .collect()
    };
    let released = with("release");
    with("reserve").difference(&released).cloned().collect()
}

/// Keeps the first findings of each promise, and adds their count if there are more.
fn cap_findings(findings: Vec<Finding>) -> Vec<Finding> {
    let mut counts: HashMap<&'static str, usize> = HashMap::new();
    let mut reported = Vec::new();
    for finding in findings {
        let count = counts.entry(finding.promise).or_default();
        *count += 1;
        if *count <= MAX_REPORTED_FINDINGS {
            reported.push(finding);
        }
    }
    let capped = counts
        .into_iter()
        .filter(|(_, count)| *count > MAX_REPORTED_FINDINGS);
    reported
        .extend(capped.map(|(promise, count)| Finding::new(promise, format!("{count} in all"))));
    reported
}
