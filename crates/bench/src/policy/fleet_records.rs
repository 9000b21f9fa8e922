use {
    super::{
        cost::{MEMORY_TOKENS, PREFILL_TOKENS_PER_S, SLOTS},
        mix::Mix,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_wire::{
        ids::{RecordKey, Revision, TargetName},
        platform::RecordPage,
        record::RecordEnvelope,
    },
};

/// Model of all requests.
pub const MODEL: &str = "rompe";
/// SHA-256 digest of the API key of all callers, in hexadecimal.
pub const KEY_SHA256: &str = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
/// Value of a limit that the mix leaves out, too high to be reached.
const NO_LIMIT: f64 = 1e12;

/// Returns the name of the target with this index.
pub fn target_name(target: usize) -> TargetName {
    TargetName::new(&format!("engine-{target:03}"))
}

/// Returns the address of the target with this index.
pub fn target_address(target: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (target >> 8) as u8, target as u8], 8000))
}

/// Returns the index of the provider of each target. The targets are split by the providers' shares,
/// interleaved evenly.
pub fn providers_of(mix: &Mix, targets: usize) -> Vec<usize> {
    let mut credit = vec![0.0; mix.providers.len()];
    (0..targets)
        .map(|_| {
            for (credit, provider) in credit.iter_mut().zip(&mix.providers) {
                *credit += f64::from(provider.share_per_mille);
            }
            let next = (0..credit.len())
                .max_by(|a, b| credit[*a].total_cmp(&credit[*b]))
                .unwrap_or(0);
            credit[next] -= 1_000.0;
            next
        })
        .collect()
}

/// Returns one page with all records of a fleet that serves a mix.
pub fn records(mix: &Mix, targets: usize) -> RecordPage {
    let mut bodies = vec![
        ("policy".to_owned(), policy(mix)),
        ("route".to_owned(), route(mix)),
    ];
    for account in &mix.accounts {
        let spec = json!({
            "account": account.name,
            "key_sha256": [KEY_SHA256],
            "requests_per_s": account.requests_per_s.unwrap_or(NO_LIMIT),
            "tokens_per_s": account.tokens_per_s.unwrap_or(NO_LIMIT),
        });
        bodies.push((
            format!("account/{}", account.name),
            record("account", &spec),
        ));
    }
    for (target, provider) in providers_of(mix, targets).into_iter().enumerate() {
        let spec = target_spec(target, &mix.providers[provider].name);
        bodies.push((format!("target/{target}"), record("target", &spec)));
    }
    let records: Vec<RecordEnvelope> = bodies
        .into_iter()
        .zip(1..)
        .map(|((key, value), revision)| RecordEnvelope {
            key: RecordKey::new(&key),
            revision: Revision(revision),
            value: Some(Arc::from(value.as_str())),
        })
        .collect();
    RecordPage {
        revision: Revision(records.len() as u64),
        records,
        more: false,
    }
}

fn record(kind: &str, spec: &Value) -> String {
    json!({"kind": kind, "schema": 2, "spec": spec}).to_string()
}

fn policy(mix: &Mix) -> String {
    let spec = json!({
        "long_first_token_weight": mix.weights.long_first_token,
        "short_slowdown_weight": mix.weights.short_slowdown,
        "long_prompt_tokens": mix.long_prompt_tokens,
    });
    record("policy", &spec)
}

fn route(mix: &Mix) -> String {
    let providers: Vec<Value> = mix
        .providers
        .iter()
        .map(|p| json!({"provider": p.name, "share_per_mille": p.share_per_mille}))
        .collect();
    let spec = json!({"subject": {"type": "model", "model": MODEL}, "providers": providers});
    record("route", &spec)
}

fn target_spec(target: usize, provider: &str) -> Value {
    json!({
        "target": target_name(target),
        "address": target_address(target),
        "failure_domain": format!("domain-{}", target % 3),
        "provider": provider,
        "slots": SLOTS,
        "role": {
            "type": "engine",
            "models": [{"model": MODEL, "version": 1}],
            "memory_tokens": MEMORY_TOKENS,
            "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
            "enforces_fencing": true,
        },
    })
}
