//! Calls of plain services: how long their answers take, what the instances of a fleet together know of the targets,
//! and when a late call is sent to a second target.

mod answer_times;
mod call_counts;
mod call_outcome;
mod call_picture;
mod call_report;
mod call_tally;
mod fleet_calls;
mod hedging;
mod target_calls;

pub use {
    answer_times::{AnswerTimes, BUCKETS},
    call_counts::CallCounts,
    call_outcome::CallOutcome,
    call_picture::CallPicture,
    call_report::CallReport,
    call_tally::CallTally,
    fleet_calls::FleetCalls,
    hedging::{HedgeDelay, HedgeDenial, HedgeLimit, can_be_hedged},
    target_calls::TargetCalls,
};
