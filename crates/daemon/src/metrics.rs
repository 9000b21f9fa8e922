//! Metrics in the Prometheus text format.

mod daemon_metrics;

pub use daemon_metrics::Metrics;
