//! The measurements, each a fleet of cores brought to a state and then counted.

mod apart;
mod changes;
mod faults;
mod loaded;
mod peers;
mod per_second;
mod records;
mod requests;
mod start;
mod streams;
mod targets;

use {super::report::Report, std::time::Instant};

/// Measures everything.
pub fn all() -> Report {
    let mut report = Report::default();
    // First, while the process is small: what is freed later stays resident.
    report.add(noted("memory", records::measure_memory));
    report.add(noted("peers", || peers::measure(&peers::SIZES)));
    report.add(noted("targets", || targets::measure(&targets::SIZES)));
    report.add(noted("records", || records::measure(&records::SIZES)));
    report.add(noted("changes", changes::measure_count));
    report.add(noted("spread", || changes::measure_spread(&peers::SIZES)));
    report.add(noted("faults", || faults::measure(&faults::SIZES)));
    report.add(noted("streams", || streams::measure(&streams::SIZES)));
    report.add(noted("requests", requests::measure));
    report.add(noted("start", start::measure));
    report.add(noted("apart", apart::measure));
    report
}

/// Measures what is the same in each run, at sizes that take seconds.
pub fn exact() -> Report {
    let mut report = Report::default();
    report.add(peers::measure(&peers::EXACT_SIZES));
    report.add(targets::measure(&targets::EXACT_SIZES));
    report.add(changes::measure_spread(&peers::EXACT_SIZES));
    report.add(start::measure_exact());
    report.add(apart::measure_exact());
    report
}

fn noted(what: &str, measure: impl FnOnce() -> Report) -> Report {
    let begun = Instant::now();
    let report = measure();
    eprintln!("measured {what} in {:.1} s", begun.elapsed().as_secs_f64());
    report
}
