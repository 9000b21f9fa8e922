//! Report of the measurements as text, JSON and charts.

mod plot;
mod slope;
mod text;

pub use {
    plot::draw,
    slope::{Figure, Report, Slope},
    text::print,
};
