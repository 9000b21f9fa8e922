//! What the system promises, held against what callers and targets saw.

use {
    crate::{
        finding::Finding,
        ledger::{Asked, InstanceRun, Kind, Outcome, Run},
        target::{DOUBLED_BODY, Limited, events_of},
    },
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::{ACCOUNT, echo_event},
};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Targets to which one request may go.
const MOST_ATTEMPTS: usize = 2;
/// Time over which the operators count what a target with a limit gets.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// What they allow beyond the limit: a factor, and a number of requests.
const LIMIT_SLACK: f64 = 1.5;
const LIMIT_FREE: f64 = 5.0;
/// Findings of a kind that are told; the rest is counted.
const TOLD_FINDINGS: usize = 5;

/// What was seen in a run.
#[derive(Debug)]
pub struct Evidence {
    /// Whether only planned work was done, which may cut nothing off.
    pub is_planned: bool,
    /// All requests that are over.
    pub asked: Vec<Asked>,
    /// All runs at targets, by request.
    pub runs: HashMap<String, Vec<Run>>,
    /// Bodies of the orders that each target got.
    pub orders: Vec<Vec<String>>,
    /// What targets got while they named a limit, if the clock is to be held against it.
    pub limited: Vec<Limited>,
    /// Time within which each answer is due, if the clock is to be held against it.
    pub due: Option<Duration>,
}

/// Holds all promises against what was seen.
pub fn judge(evidence: &Evidence) -> Vec<Finding> {
    let mut findings = Vec::new();
    for asked in &evidence.asked {
        let runs = evidence.runs.get(&asked.id).map_or(&[][..], Vec::as_slice);
        let found = [
            runs_as_often_as_it_may(asked, runs),
            refusal_is_true(asked, runs),
            answer_is_its_own(asked),
            published_route_is_served(asked),
            reaches_targets_unchanged(asked, runs),
            planned_work_cuts_nothing(evidence, asked, runs),
            answer_is_in_time(evidence, asked),
        ];
        findings.extend(found.into_iter().flatten());
    }
    findings.extend(nothing_is_made_up(evidence));
    findings.extend(versions_only_go_up(&evidence.asked));
    findings.extend(memory_comes_back(evidence));
    findings.extend(leaving_target_gets_nothing(evidence));
    findings.extend(limits_are_kept(evidence));
    shorten(findings)
}

fn runs_as_often_as_it_may(asked: &Asked, runs: &[Run]) -> Option<Finding> {
    let most = if asked.kind == Kind::Unsafe {
        1
    } else {
        MOST_ATTEMPTS
    };
    let seen = || {
        format!(
            "{} ({:?}) ran {} times: {runs:?}",
            asked.id,
            asked.kind,
            runs.len()
        )
    };
    (runs.len() > most).then(|| Finding::new("runs as often as it may", seen()))
}

fn refusal_is_true(asked: &Asked, runs: &[Run]) -> Option<Finding> {
    let Outcome::Answered { status, .. } = asked.outcome else {
        return None;
    };
    let is_false = asked.kind == Kind::Unsafe && PROMISES.contains(&status) && !runs.is_empty();
    let seen = || format!("{} was answered {status} and ran: {runs:?}", asked.id);
    is_false.then(|| Finding::new("a refusal is true", seen()))
}

fn answer_is_its_own(asked: &Asked) -> Option<Finding> {
    let Outcome::Answered {
        status: 200..300,
        is_sealed,
        is_whole,
        body,
    } = &asked.outcome
    else {
        return None;
    };
    let is_right = match asked.kind {
        Kind::Stream => is_own_stream(&asked.id, body, *is_whole),
        Kind::Safe | Kind::Unsafe | Kind::Probe { .. } => {
            !is_whole || *body == asked.id || body == DOUBLED_BODY
        }
    };
    let seen = || {
        format!(
            "{} ({:?}) sealed={is_sealed} whole={is_whole} got {body:?}",
            asked.id, asked.kind
        )
    };
    (!is_right || !is_sealed).then(|| Finding::new("an answer is whole and one's own", seen()))
}

/// Whether each event is there once and in order, and all of them if the stream ends well.
fn is_own_stream(id: &str, body: &str, is_whole: bool) -> bool {
    let events: Vec<String> = (1..=events_of(id))
        .map(|number| format!("id: {number}\ndata: {}\n\n", echo_event(id, number)))
        .collect();
    let expected = events.concat();
    if is_whole {
        body == expected
    } else {
        expected.starts_with(body)
    }
}

fn published_route_is_served(asked: &Asked) -> Option<Finding> {
    let Outcome::Answered { status, .. } = asked.outcome else {
        return None;
    };
    let is_own_fault = matches!(status, 300..500) && !PROMISES.contains(&status);
    let is_probe = matches!(asked.kind, Kind::Probe { .. });
    let seen = || format!("{} ({:?}) was answered {status}", asked.id, asked.kind);
    (is_own_fault && !is_probe).then(|| Finding::new("a published route is served", seen()))
}

fn reaches_targets_unchanged(asked: &Asked, runs: &[Run]) -> Option<Finding> {
    let wrong = runs
        .iter()
        .find(|run| run.path != asked.path || run.account != ACCOUNT || run.has_key)?;
    let seen = format!("{} reached a target as {wrong:?}", asked.id);
    Some(Finding::new("a request reaches targets unchanged", seen))
}

/// Requests that cross the end of an idle connection and reach nobody are their callers' to repeat.
fn planned_work_cuts_nothing(evidence: &Evidence, asked: &Asked, runs: &[Run]) -> Option<Finding> {
    if !evidence.is_planned {
        return None;
    }
    let is_cut = match &asked.outcome {
        Outcome::NotSent | Outcome::Closed => !(asked.was_kept && runs.is_empty()),
        Outcome::Silent => true,
        Outcome::Left => false,
        Outcome::Answered {
            status, is_whole, ..
        } => !is_whole || matches!(status, 500 | 502 | 504),
    };
    let seen = || {
        format!(
            "{} ({:?}) at {:?} ended as {:?} after {:?}, with runs {runs:?}",
            asked.id,
            asked.kind,
            asked.run,
            asked.outcome,
            asked.ended_at - asked.sent_at
        )
    };
    is_cut.then(|| Finding::new("planned work cuts nothing off", seen()))
}

fn answer_is_in_time(evidence: &Evidence, asked: &Asked) -> Option<Finding> {
    let due = evidence.due.filter(|_| evidence.is_planned)?;
    let took = asked.ended_at - asked.sent_at;
    let seen = || format!("{} ({:?}) took {took:?}", asked.id, asked.kind);
    (took > due).then(|| Finding::new("an answer is in time", seen()))
}

fn nothing_is_made_up(evidence: &Evidence) -> Vec<Finding> {
    let asked: HashSet<&str> = evidence
        .asked
        .iter()
        .map(|asked| asked.id.as_str())
        .collect();
    let unknown = evidence
        .runs
        .iter()
        .filter(|(id, _)| !asked.contains(id.as_str()));
    unknown
        .map(|(id, runs)| {
            Finding::new(
                "nothing is made up",
                format!("{id} was never asked: {runs:?}"),
            )
        })
        .collect()
}

/// An answer of a route that one version has shows that this version was in force in the run; a
/// later request of the same run must not find an older one.
fn versions_only_go_up(asked: &[Asked]) -> Vec<Finding> {
    let mut seen: HashMap<InstanceRun, Vec<(Instant, Instant, u64)>> = HashMap::new();
    for probe in asked {
        let Kind::Probe { version } = probe.kind else {
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
            seen.entry(run).or_default().push(span);
        }
    }
    let mut findings = Vec::new();
    for (run, spans) in seen {
        for (_, ended_at, newer) in &spans {
            let back = spans
                .iter()
                .find(|(sent_at, _, version)| version < newer && sent_at > ended_at);
            if let Some((_, _, older)) = back {
                let seen = format!("{run:?} served by version {older} after version {newer}");
                findings.push(Finding::new("a configuration never reverts", seen));
            }
        }
    }
    findings
}

/// An answer that says that its target leaves has passed through an instance; what is sent to the same run of the
/// instance after that goes elsewhere.
fn leaving_target_gets_nothing(evidence: &Evidence) -> Vec<Finding> {
    let mut told: HashMap<(InstanceRun, &str), Instant> = HashMap::new();
    for asked in evidence.asked.iter().filter(|asked| asked.names_leaving) {
        let runs = evidence.runs.get(&asked.id).map_or(&[][..], Vec::as_slice);
        if let (Some(run), [only]) = (asked.run, runs) {
            let first = told.entry((run, &only.target)).or_insert(asked.ended_at);
            *first = asked.ended_at.min(*first);
        }
    }
    let mut findings = Vec::new();
    for asked in &evidence.asked {
        let Some(instance) = asked.run else { continue };
        let runs = evidence.runs.get(&asked.id).into_iter().flatten();
        let late = runs.filter(|run| {
            let first = told.get(&(instance, run.target.as_str()));
            first.is_some_and(|first| asked.sent_at > *first)
        });
        findings.extend(late.map(|run| {
            let seen = format!("{} reached {} through {instance:?}", asked.id, run.target);
            Finding::new("a leaving target gets nothing new", seen)
        }));
    }
    findings
}

/// An instance that has just been told or started is excused, so that only planned work, after which each new
/// one is told by the others, shows a limit that isn't kept.
fn limits_are_kept(evidence: &Evidence) -> Vec<Finding> {
    if !evidence.is_planned {
        return Vec::new();
    }
    let most = |per_s: f64| LIMIT_SLACK * LIMIT_WINDOW.as_secs_f64() * per_s + LIMIT_FREE;
    let kept = evidence.limited.iter().map(|limited| {
        let arrived = most_within(&limited.arrived_at, LIMIT_WINDOW);
        (limited, arrived)
    });
    kept.filter(|(limited, arrived)| *arrived as f64 > most(limited.per_s))
        .map(|(limited, arrived)| {
            let seen = format!("{arrived} in four seconds at {} a second", limited.per_s);
            Finding::new("a limit is kept", seen)
        })
        .collect()
}

/// Most moments within any span of a length.
fn most_within(moments: &[Instant], length: Duration) -> usize {
    let ends = moments.iter().enumerate();
    ends.map(|(end, at)| {
        let first = moments.partition_point(|other| *other + length <= *at);
        end + 1 - first
    })
    .max()
    .unwrap_or(0)
}

/// Each memory that was set aside is given back, where nobody dies on the way.
fn memory_comes_back(evidence: &Evidence) -> Vec<Finding> {
    if !evidence.is_planned {
        return Vec::new();
    }
    let kept = evidence.orders.iter().map(|orders| kept_memory(orders));
    kept.filter(|kept| !kept.is_empty())
        .map(|kept| {
            let seen = format!("{} were never given back: {kept:?}", kept.len());
            Finding::new("memory comes back", seen)
        })
        .collect()
}

/// Ids of the memory that a target was ordered to set aside and not to give back.
pub fn kept_memory(orders: &[String]) -> Vec<String> {
    let with = |operation: &str| -> HashSet<String> {
        orders
            .iter()
            .filter_map(|order| serde_json::from_str::<serde_json::Value>(order).ok())
            .filter(|order| order["Operation"] == operation)
            .filter_map(|order| order["Id"].as_str().map(str::to_owned))
            .collect()
    };
    let given_back = with("release");
    with("reserve").difference(&given_back).cloned().collect()
}

/// Tells a few findings of each promise, and how many there are.
fn shorten(findings: Vec<Finding>) -> Vec<Finding> {
    let mut counts: HashMap<&'static str, usize> = HashMap::new();
    let mut told = Vec::new();
    for finding in findings {
        let count = counts.entry(finding.promise).or_default();
        *count += 1;
        if *count <= TOLD_FINDINGS {
            told.push(finding);
        }
    }
    let more = counts
        .into_iter()
        .filter(|(_, count)| *count > TOLD_FINDINGS);
    told.extend(more.map(|(promise, count)| Finding::new(promise, format!("{count} in all"))));
    told
}
