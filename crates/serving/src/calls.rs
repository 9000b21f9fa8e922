//! Answers of plain services: how long they take.

mod answer_times;

pub use answer_times::{AnswerTimes, BUCKETS};
