//! The measurements. Each brings a core or a fleet into a state and counts what it costs.

mod apart;
mod changes;
mod faults;
mod idle_cost;
mod loaded_core;
mod measurement;
mod peers;
mod records;
mod requests;
mod spread;
mod start;
mod streams;
mod targets;

pub use measurement::Measurement;

use {
    super::{repair, report::Report},
    measurement::MEASUREMENTS,
    std::time::Instant,
};

/// Runs all measurements, or only one.
pub fn all(only: Option<Measurement>) -> Report {
    let mut report = Report::default();
    for (name, measurement) in MEASUREMENTS {
        if only.is_none_or(|only| only == measurement) {
            report.add(log_duration(name, || measure(measurement)));
        }
    }
    report
}

fn measure(measurement: Measurement) -> Report {
    match measurement {
        Measurement::Memory => records::measure_memory(),
        Measurement::Peers => peers::measure(&peers::SIZES),
        Measurement::Targets => targets::measure(&targets::SIZES),
        Measurement::Records => records::measure(&records::SIZES),
        Measurement::Changes => changes::measure(),
        Measurement::Faults => faults::measure(&faults::SIZES),
        Measurement::Streams => streams::measure(&streams::SIZES),
        Measurement::Requests => requests::measure(),
        Measurement::Start => start::measure(),
        Measurement::Apart => apart::measure(),
        Measurement::Repair => repair::measure(),
    }
}

/// Measures what is the same in each run, at small sizes that take seconds.
pub fn exact() -> Report {
    let mut report = Report::default();
    report.add(peers::measure(&peers::EXACT_SIZES));
    report.add(targets::measure(&targets::EXACT_SIZES));
    report.add(start::measure_exact());
    report.add(apart::measure_exact());
    report.add(repair::measure_exact());
    report
}

/// Runs a measurement and logs how long it took.
fn log_duration(name: &str, measure: impl FnOnce() -> Report) -> Report {
    let started_at = Instant::now();
    let report = measure();
    eprintln!(
        "measured {name} in {:.1} s",
        started_at.elapsed().as_secs_f64()
    );
    report
}
