//! Tests of single rules of the core: load tracking, prefill costs and placement.

mod fleet_fixture;
mod load_tracker;
mod placement;
mod prefill_cost;
