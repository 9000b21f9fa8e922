//! Test fixture: cores of daemons with records and reports of engines of one or two providers.

use {
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{
        Action, Core, CoreOptions, Dispatch, Event, MonoMs, PlatformEvent, Submission, TargetCall,
        TargetEvent, Work,
    },
    whinlatch_wire::{
        caller::Outcome,
        ids::{
            AccountName, FailureDomain, Incarnation, InstanceName, ModelName, RecordKey, RequestId,
            Revision, TargetName,
        },
        platform::RecordPage,
        record::RecordEnvelope,
        target::LoadReport,
    },
};

/// Memory of an engine in tokens.
pub const MEMORY_TOKENS: u64 = 300_000;
/// Digest of the key that all callers present.
pub const KEY_SHA256: &str = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
/// Prefill rate in the record of an engine, in tokens per second.
pub const RATE: u64 = 40_000;

/// Contents of a fleet's records.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Name of each provider, its share in thousandths and its number of engines.
    pub providers: Vec<(&'static str, u32, usize)>,
    /// Name of each account, its limit in requests per second and its weight.
    pub accounts: Vec<(&'static str, f64, f64)>,
    /// Weight of the first token of long prompts, 0 to 1; the slowdown of short requests has the rest.
    pub long_weight: f64,
}

/// Returns a fleet with one provider of `engines` engines and one account that is practically unlimited.
pub fn fleet_of(engines: usize) -> FleetSpec {
    FleetSpec {
        providers: vec![("old", 1_000, engines)],
        accounts: vec![("alcaravan", 1e9, 1.0)],
        long_weight: 0.5,
    }
}

/// Returns the name of the engine with a number.
pub fn engine(number: usize) -> TargetName {
    TargetName::new(&format!("engine-{number:03}"))
}

/// Returns the incarnation of the engine with a number.
pub fn run_of(number: usize) -> Incarnation {
    Incarnation(1_000 + number as u128)
}

/// Returns the number in an engine's name.
pub fn number_of(target: &TargetName) -> usize {
    target.as_str()[7..]
        .parse()
        .expect("an engine's name ends in its number")
}

/// Returns the incarnation of the daemon with a number.
pub fn daemon(number: usize) -> Incarnation {
    Incarnation(1 + number as u128)
}

/// Builds the page of records for a spec, with revisions counted from 1.
pub fn records(spec: &FleetSpec) -> RecordPage {
    let mut values = vec![record(
        "policy",
        &json!({
            "long_first_token_weight": spec.long_weight,
            "short_slowdown_weight": 1.0 - spec.long_weight,
        }),
    )];
    let shares: Vec<Value> = spec
        .providers
        .iter()
        .map(|(name, share, _)| json!({"provider": name, "share_per_mille": share}))
        .collect();
    let subject = json!({"type": "model", "model": "rompe"});
    values.push(record(
        "route",
        &json!({"subject": subject, "providers": shares}),
    ));
    for (account, requests_per_s, weight) in &spec.accounts {
        values.push(record(
            "account",
            &json!({
                "account": account,
                "key_sha256": [KEY_SHA256],
                "requests_per_s": requests_per_s,
                "tokens_per_s": 1e12,
                "weight": weight,
            }),
        ));
    }
    let providers = spec
        .providers
        .iter()
        .flat_map(|(name, _, count)| vec![*name; *count]);
    for (number, provider) in providers.enumerate() {
        values.push(record("target", &engine_spec(number, provider)));
    }
    let records = values
        .into_iter()
        .zip(1_u64..)
        .map(|(value, revision)| RecordEnvelope {
            key: RecordKey::new(&format!("record/{revision:03}")),
            revision: Revision(revision),
            value: Some(Arc::from(value.as_str())),
        });
    let records: Vec<RecordEnvelope> = records.collect();
    RecordPage {
        revision: Revision(records.len() as u64),
        records,
        more: false,
    }
}

fn record(kind: &str, spec: &Value) -> String {
    json!({"kind": kind, "schema": 2, "spec": spec}).to_string()
}

fn engine_spec(number: usize, provider: &str) -> Value {
    json!({
        "target": engine(number),
        "address": SocketAddr::from(([10, 1, 0, number as u8], 8000)),
        "failure_domain": "a",
        "provider": provider,
        "slots": 64,
        "role": {
            "type": "engine",
            "models": [{"model": "rompe", "version": 1}],
            "memory_tokens": MEMORY_TOKENS,
            "prefill_tokens_per_s": RATE,
            "enforces_fencing": true,
        },
    })
}

/// Creates the core of a daemon that has just started, without records.
pub fn fresh_core(number: usize) -> Core {
    let options = CoreOptions {
        instance: InstanceName::new(&format!("instance-{number}")),
        failure_domain: FailureDomain::new("a"),
        incarnation: daemon(number),
        caller_address: SocketAddr::from(([10, 0, 0, number as u8], 7000)),
        peer_address: SocketAddr::from(([10, 0, 0, number as u8], 7100)),
        seed_peers: Vec::new(),
        seed: 7 + number as u64,
    };
    Core::new(MonoMs(0), options)
}

/// Creates the core of a daemon that has its records and an idle report of each engine.
pub fn ready_core(number: usize, spec: &FleetSpec) -> Core {
    let mut core = fresh_core(number);
    let page = PlatformEvent::Records(records(spec));
    core.handle(MonoMs(0), Event::Platform(page));
    let engines: usize = spec.providers.iter().map(|(_, _, count)| count).sum();
    for number in 0..engines {
        report(&mut core, MonoMs(0), number, idle(number));
    }
    core
}

/// Builds the load report of an idle engine.
pub fn idle(number: usize) -> LoadReport {
    LoadReport {
        incarnation: run_of(number),
        leaving: false,
        running: 0,
        waiting: 0,
        prefill_tokens_left: 0,
        memory_used_tokens: 0,
        memory_total_tokens: MEMORY_TOKENS,
        holdings: Vec::new(),
    }
}

/// Delivers a load report of an engine.
pub fn report(core: &mut Core, now: MonoMs, number: usize, report: LoadReport) -> Vec<Action> {
    let event = TargetEvent::Report(report);
    core.handle(
        now,
        Event::Target {
            target: engine(number),
            event,
        },
    )
}

/// Builds a prompt whose fingerprint is its request number.
pub fn prompt(request: u128, prompt_tokens: u64, deadline_ms: u64) -> Submission {
    Submission {
        request: RequestId(request),
        account: AccountName::new("alcaravan"),
        caller: None,
        key_sha256: KEY_SHA256.to_owned(),
        deadline_ms,
        ticket: None,
        idempotency_key: None,
        forwarded_by: None,
        fingerprint: request as u64,
        work: Work::Prompt {
            model: ModelName::new("rompe"),
            adapter: None,
            prompt_tokens,
            max_tokens: 100,
            prefix_hashes: Vec::new(),
        },
    }
}

/// Submits a request.
pub fn submit(core: &mut Core, now: MonoMs, submission: Submission) -> Vec<Action> {
    core.handle(now, Event::Submit(Box::new(submission)))
}

/// Returns the dispatches among actions.
pub fn dispatches(actions: &[Action]) -> Vec<&Dispatch> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch(dispatch) => Some(&**dispatch),
            _ => None,
        })
        .collect()
}

/// Returns the final answers among actions.
pub fn outcomes(actions: &[Action]) -> Vec<&Outcome> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Finish(outcome) => Some(outcome),
            _ => None,
        })
        .collect()
}

/// Returns the calls to targets among actions, except reads of reports and cache events.
pub fn calls(actions: &[Action]) -> Vec<(TargetName, TargetCall)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Call {
                call: TargetCall::Report | TargetCall::CacheEvents { .. },
                ..
            } => None,
            Action::Call { target, call, .. } => Some((target.clone(), call.clone())),
            _ => None,
        })
        .collect()
}
