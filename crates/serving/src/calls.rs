//! Calls of plain services: how long their answers take, and what the instances of a fleet together know of the
//! targets.

mod answer_times;
mod call_counts;
mod call_outcome;
mod call_picture;
mod call_report;
mod call_tally;
mod ejection_change;
mod fleet_calls;
mod target_calls;

pub use {
    answer_times::{AnswerTimes, BUCKETS},
    call_counts::CallCounts,
    call_outcome::CallOutcome,
    call_picture::CallPicture,
    call_report::CallReport,
    call_tally::CallTally,
    ejection_change::EjectionChange,
    fleet_calls::FleetCalls,
    target_calls::TargetCalls,
};
