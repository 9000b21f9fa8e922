//! CPU time of the core for a request from arrival to end.

use {
    super::loaded_core::{LoadedCore, PlatformAnswers},
    crate::capacity::{
        clock::timed,
        fleet::{PublishedSize, account_key_sha256},
        report::{Figure, Report},
        size::{ACCOUNTS, DAEMONS, MODELS, REQUESTS_PER_S, TARGETS},
    },
    whinlatch_core::{Action, AttemptEvent, Dispatch, Event, Submission, Work},
    whinlatch_wire::ids::{AccountName, ModelName, RequestId},
};

/// Number of requests that are measured.
const REQUESTS: usize = 2_000;
/// Time from arrival to deadline, in ms.
const DEADLINE_MS: u64 = 600_000;
/// Length of each prompt.
const PROMPT_TOKENS: u64 = 4_000;
/// Maximum length of each answer.
const MAX_TOKENS: u32 = 512;
/// Requests between two steps of virtual time.
const REQUESTS_PER_STEP: usize = 10;
/// Nanoseconds per microsecond.
const NS_PER_US: f64 = 1e3;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Measures sequential requests at the design size.
pub fn measure() -> Report {
    let answers = PlatformAnswers::new(PublishedSize {
        daemons: DAEMONS,
        targets: TARGETS,
        accounts: ACCOUNTS,
    });
    let mut loaded = LoadedCore::new(&answers);
    loaded.apply_target_reports(TARGETS, 0);
    let cost = run_to_end(&mut loaded, REQUESTS);
    let each_us = cost.cpu_ns as f64 / REQUESTS as f64 / NS_PER_US;
    let rate = REQUESTS_PER_S / DAEMONS as f64;
    let per_s_ms = cost.cpu_ns as f64 / REQUESTS as f64 * rate / NS_PER_MS;
    Report {
        figures: vec![
            Figure::new("requests.cpu", each_us, "us"),
            Figure::new("requests.cpu_at_size", per_s_ms, "ms/s"),
            Figure::new("requests.completed", cost.dispatched as f64, "requests"),
        ],
        ..Report::default()
    }
}

/// Cost of a series of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestCost {
    /// CPU time of the core, in ns.
    pub cpu_ns: u64,
    /// Requests that were dispatched to a target.
    pub dispatched: usize,
}

/// Runs `count` requests from arrival to end.
pub fn run_to_end(loaded: &mut LoadedCore, count: usize) -> RequestCost {
    let mut cost = RequestCost::default();
    for number in 0..count {
        if number % REQUESTS_PER_STEP == 0 {
            loaded.step();
        }
        let Some(dispatch) = submit(loaded, number, &mut cost) else {
            continue;
        };
        for event in [AttemptEvent::FirstChunk, AttemptEvent::Completed] {
            let event = Event::Attempt {
                attempt: dispatch.attempt,
                event,
            };
            let now = loaded.now;
            let actions = timed(&mut cost.cpu_ns, || loaded.core.handle(now, event));
            drop(actions);
        }
    }
    cost
}

/// Submits `count` requests and leaves them open. Returns how many were dispatched to a target.
pub fn hold_open(loaded: &mut LoadedCore, count: usize) -> usize {
    let mut cost = RequestCost::default();
    for number in 0..count {
        submit(loaded, REQUESTS + number, &mut cost);
    }
    cost.dispatched
}

/// Submits a request and adds its cost. Returns its dispatch, or `None` if there was none.
fn submit(loaded: &mut LoadedCore, number: usize, cost: &mut RequestCost) -> Option<Dispatch> {
    let event = Event::Submit(Box::new(submission(number)));
    let now = loaded.now;
    let actions = timed(&mut cost.cpu_ns, || loaded.core.handle(now, event));
    let dispatch = actions.into_iter().find_map(|action| match action {
        Action::Dispatch(dispatch) => Some(*dispatch),
        _ => None,
    })?;
    cost.dispatched += 1;
    Some(dispatch)
}

fn submission(number: usize) -> Submission {
    /// Accounts that send requests. Each measured platform has at least as many.
    const CALLING_ACCOUNTS: usize = 100;
    let account = number % CALLING_ACCOUNTS;
    Submission {
        request: RequestId(number as u128 + 1),
        account: AccountName::new(&format!("account-{account:06}")),
        caller: None,
        key_sha256: account_key_sha256(account),
        deadline_ms: DEADLINE_MS,
        ticket: None,
        idempotency_key: None,
        forwarded_by: None,
        fingerprint: number as u64,
        work: Work::Prompt {
            model: ModelName::new(&format!("model-{}", number % MODELS)),
            adapter: None,
            prompt_tokens: PROMPT_TOKENS,
            max_tokens: MAX_TOKENS,
            prefix_hashes: Vec::new(),
        },
    }
}
