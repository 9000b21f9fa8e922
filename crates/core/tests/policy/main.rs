//! The decisions of the core: admission, routing and placement, each rule by itself.

mod fleet_fixture;
mod load_tracker;
mod placement;
mod prefill_cost;
