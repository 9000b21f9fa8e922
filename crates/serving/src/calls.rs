//! Answers of plain services: how long they take, and when a late call is sent to a second target.

mod answer_times;
mod hedging;

pub use {
    answer_times::{AnswerTimes, BUCKETS},
    hedging::{HedgeDelay, HedgeDenial, HedgeLimit, can_be_hedged},
};
