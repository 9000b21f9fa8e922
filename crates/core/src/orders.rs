//! Orders to targets: models, adapters and versions to load, and what to work on.

mod orderer;
mod ranking;

pub use {
    orderer::{Duty, Orderer, Step},
    ranking::{first_of, place_of},
};
