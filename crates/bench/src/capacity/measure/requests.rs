//! Processor time of the core for one request from arrival to end.

use {
    super::loaded::{Answers, Loaded},
    crate::capacity::{
        clock::timed,
        fleet::{PublishedSize, account_key_sha256},
        report::{Figure, Report},
        size::{ACCOUNTS, DAEMONS, MODELS, REQUESTS_PER_S, TARGETS},
    },
    whinlatch_core::{Action, AttemptEvent, Dispatch, Event, Submission, Work},
    whinlatch_wire::ids::{AccountName, ModelName, RequestId},
};

/// Requests that are measured.
const REQUESTS: usize = 2_000;
/// Time that each request is given, in ms.
const DEADLINE_MS: u64 = 600_000;
/// Tokens of each prompt.
const PROMPT_TOKENS: u64 = 4_000;
/// Tokens of each answer.
const MAX_TOKENS: u32 = 512;
/// Requests in one tick.
const BATCH: usize = 10;
/// ns in a µs.
const NS_PER_US: f64 = 1e3;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// Measures requests one after the other at the size that is designed for.
pub fn measure() -> Report {
    let answers = Answers::of(PublishedSize {
        daemons: DAEMONS,
        targets: TARGETS,
        accounts: ACCOUNTS,
    });
    let mut loaded = Loaded::from(&answers);
    loaded.hear_targets(TARGETS, 0);
    let cost = run_through(&mut loaded, REQUESTS);
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

/// What requests cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestCost {
    /// Processor time in the core, in ns.
    pub cpu_ns: u64,
    /// Requests that went to a target.
    pub dispatched: usize,
}

/// Runs so many requests from arrival to end.
pub fn run_through(loaded: &mut Loaded, count: usize) -> RequestCost {
    let mut cost = RequestCost::default();
    for number in 0..count {
        if number % BATCH == 0 {
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

/// Submits so many requests and leaves them open. Returns how many went to a target.
pub fn hold_open(loaded: &mut Loaded, count: usize) -> usize {
    let mut cost = RequestCost::default();
    for number in 0..count {
        submit(loaded, REQUESTS + number, &mut cost);
    }
    cost.dispatched
}

fn submit(loaded: &mut Loaded, number: usize, cost: &mut RequestCost) -> Option<Dispatch> {
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
    /// Accounts that call; each fleet that is measured has at least so many.
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
