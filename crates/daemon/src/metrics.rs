//! What is counted, in the form that Prometheus reads.

mod daemon_metrics;

pub use daemon_metrics::Metrics;
