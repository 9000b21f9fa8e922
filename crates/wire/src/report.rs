//! Reports on a daemon for operators, as JSON over HTTP.

mod decisions;
mod records;
mod status;

pub use {
    decisions::{DecisionReport, DecisionStep},
    records::{RecordState, RecordStatus, RecordsReport},
    status::{PeerStatus, PlatformStatus, StatusReport, TargetStatus},
};
