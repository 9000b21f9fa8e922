//! Builders for record values and envelopes.

use {
    std::sync::Arc,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        record::RecordEnvelope,
    },
};

pub fn target(name: &str, port: u16) -> String {
    format!(
        r#"{{"schema":2,"kind":"target","spec":{{"target":"{name}","address":"10.1.0.1:{port}",
        "failure_domain":"domain-0","provider":"new","slots":4,
        "role":{{"type":"service","service":"labels"}}}}}}"#
    )
}

pub fn account(name: &str, requests_per_s: u32) -> String {
    format!(
        r#"{{"schema":2,"kind":"account","spec":{{"account":"{name}",
        "key_sha256":["00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff"],
        "requests_per_s":{requests_per_s},"tokens_per_s":100000}}}}"#
    )
}

pub fn policy(platform_reads_per_s: f64) -> String {
    format!(
        r#"{{"schema":2,"kind":"policy",
        "spec":{{"platform_reads_per_s":{platform_reads_per_s:.1}}}}}"#
    )
}

pub fn unknown_schema(name: &str) -> String {
    format!(r#"{{"schema":99,"kind":"target","spec":{{"title":"{name}"}}}}"#)
}

pub fn envelope(key: &str, revision: u64, value: Option<&str>) -> RecordEnvelope {
    RecordEnvelope {
        key: RecordKey::new(key),
        revision: Revision(revision),
        value: value.map(Arc::from),
    }
}
