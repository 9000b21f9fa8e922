//! What operators read from a daemon.

mod decisions;
mod records;
mod status;

pub use {
    decisions::{DecisionReport, DecisionStep},
    records::{RecordState, RecordStatus, RecordsReport},
    status::{PeerStatus, PlatformStatus, StatusReport, TargetStatus},
};
