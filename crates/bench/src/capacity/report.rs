//! What was measured, as text, as JSON and as pictures.

mod plot;
mod slope;
mod text;

pub use {
    plot::draw,
    slope::{Figure, Report, Slope},
    text::print,
};
