//! Orders to engines: which models, adapters and versions to load, and in which mode to run.

mod order_planner;
mod ranking;

pub use {
    order_planner::{DesiredState, OrderPlanner, OrderStep},
    ranking::{highest_ranked, rank_of},
};
