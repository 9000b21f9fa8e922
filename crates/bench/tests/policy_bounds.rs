//! Compares the results of `whinlatch-bench policy` with the bounds in `bounds/policy.jsonc`.

use {
    serde::Deserialize,
    serde_json::Value,
    std::{collections::BTreeMap, path::Path, process::Command},
};

/// Bounds for one mix. All are upper bounds except `least_goodput`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bounds {
    late: u64,
    failed: u64,
    not_run: u64,
    long_ttft_p99_ms: f64,
    short_slowdown: f64,
    first_band_ttft_p95_ms: f64,
    share_error: f64,
    least_goodput: f64,
}

#[test]
fn trueque_keeps_its_bounds() {
    assert_eq!(violations("trueque"), Vec::<String>::new());
}

#[test]
fn kalesa_keeps_its_bounds() {
    assert_eq!(violations("kalesa"), Vec::<String>::new());
}

/// Measures a mix and returns a message for each violated bound.
fn violations(mix: &str) -> Vec<String> {
    let bounds = read_bounds(mix);
    let measured = measure(mix);
    let policy = &measured["policies"][0];
    let first_band_ms = number(&policy["bands"][0]["ttft"]["p95"]);
    let upper_bounds = [
        ("late", sum(policy, "late"), bounds.late as f64),
        ("failed", sum(policy, "failed"), bounds.failed as f64),
        ("not_run", sum(policy, "not_run"), bounds.not_run as f64),
        (
            "long_ttft_p99_ms",
            number(&policy["long"]["ttft"]["p99"]),
            bounds.long_ttft_p99_ms,
        ),
        (
            "short_slowdown",
            number(&policy["short_slowdown"]),
            bounds.short_slowdown,
        ),
        (
            "first_band_ttft_p95_ms",
            first_band_ms,
            bounds.first_band_ttft_p95_ms,
        ),
        (
            "share_error",
            number(&policy["share_error"]),
            bounds.share_error,
        ),
        // Negated, since goodput has a lower bound.
        (
            "least_goodput",
            -number(&policy["goodput"]),
            -bounds.least_goodput,
        ),
    ];
    upper_bounds
        .iter()
        .filter(|(_, value, bound)| value > bound)
        .map(|(name, value, bound)| format!("{mix}: {name} is {value}, bound {bound}"))
        .collect()
}

fn read_bounds(mix: &str) -> Bounds {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("bounds/policy.jsonc");
    let text = std::fs::read_to_string(path).expect("the bounds are committed");
    let bounds = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
        .expect("the bounds are JSON with comments")
        .expect("the bounds are not empty");
    let mut by_mix: BTreeMap<String, Bounds> =
        serde_json::from_value(bounds).expect("each mix has all bounds and no other");
    by_mix.remove(mix).expect("the mix has bounds")
}

fn measure(mix: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_whinlatch-bench"))
        .args(["policy", "--mix", mix, "--policy", "whinlatch", "--json"])
        .args(["--daemons", "4", "--targets", "6"])
        .args(["--load", "0.8", "--seed", "1"])
        .output()
        .expect("whinlatch-bench starts");
    assert!(output.status.success(), "the measurement fails: {output:?}");
    serde_json::from_slice(&output.stdout).expect("the report is JSON")
}

fn sum(policy: &Value, field: &str) -> f64 {
    let bands = policy["bands"].as_array().expect("bands are a list");
    bands.iter().map(|band| number(&band[field])).sum()
}

fn number(value: &Value) -> f64 {
    value.as_f64().expect("the figure is a number")
}
