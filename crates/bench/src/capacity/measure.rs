//! The measurements, each a fleet of cores brought to a state and then counted.

mod apart;
mod changes;
mod faults;
mod loaded;
mod part;
mod peers;
mod per_second;
mod records;
mod requests;
mod spread;
mod start;
mod streams;
mod targets;

pub use part::Part;

use {
    super::{repair, report::Report},
    part::PARTS,
    std::time::Instant,
};

/// Measures everything, or one part of it.
pub fn all(only: Option<Part>) -> Report {
    let mut report = Report::default();
    for (name, part) in PARTS {
        if only.is_none_or(|only| only == part) {
            report.add(noted(name, || measure(part)));
        }
    }
    report
}

fn measure(part: Part) -> Report {
    match part {
        Part::Memory => records::measure_memory(),
        Part::Peers => peers::measure(&peers::SIZES),
        Part::Targets => targets::measure(&targets::SIZES),
        Part::Records => records::measure(&records::SIZES),
        Part::Changes => changes::measure(),
        Part::Faults => faults::measure(&faults::SIZES),
        Part::Streams => streams::measure(&streams::SIZES),
        Part::Requests => requests::measure(),
        Part::Start => start::measure(),
        Part::Apart => apart::measure(),
        Part::Repair => repair::measure(),
    }
}

/// Measures what is the same in each run, at sizes that take seconds.
pub fn exact() -> Report {
    let mut report = Report::default();
    report.add(peers::measure(&peers::EXACT_SIZES));
    report.add(targets::measure(&targets::EXACT_SIZES));
    report.add(start::measure_exact());
    report.add(apart::measure_exact());
    report.add(repair::measure_exact());
    report
}

fn noted(what: &str, measure: impl FnOnce() -> Report) -> Report {
    let begun = Instant::now();
    let report = measure();
    eprintln!("measured {what} in {:.1} s", begun.elapsed().as_secs_f64());
    report
}
