//! Orders to engines: which models, adapters and versions to load, and in which mode to run.

mod order_planner;
mod ranking;

pub use {
    order_planner::{Duty, Orderer, Step},
    ranking::{first_of, place_of},
};
