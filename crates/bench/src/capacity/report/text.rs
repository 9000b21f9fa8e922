use {
    super::{Figure, Report, Slope},
    crate::capacity::repair::Repair,
};

/// Prints a report as tables: slopes, figures and, if measured, repairs.
pub fn print(report: &Report) {
    println!(
        "{:<28} {:>8} {:>14} {:>11} {:>12} {:>7} {:>12} {:>10}  points",
        "slope", "per", "slope", "error", "at 0", "r2", "at size", "budget"
    );
    for slope in &report.slopes {
        print_slope(slope);
    }
    println!(
        "\n{:<44} {:>14} {:<12} {:>10}",
        "figure", "value", "unit", "limit"
    );
    for figure in &report.figures {
        print_figure(figure);
    }
    if !report.repairs.is_empty() {
        print_repairs(&report.repairs);
    }
}

fn print_repairs(repairs: &[Repair]) {
    println!(
        "\n{:<20} {:>6} {:<10} {:<5} {:>10} {:>5} {:>9} {:>7}",
        "repair", "differ", "keys", "held", "bytes", "legs", "cpu ms", "missed"
    );
    for repair in repairs {
        println!(
            "{:<20} {:>6} {:<10} {:<5} {:>10} {:>5} {:>9.2} {:>7}",
            repair.way,
            repair.differences,
            format!("{:?}", repair.spread),
            format!("{:?}", repair.holder),
            repair.bytes,
            repair.legs,
            repair.cpu_ms,
            repair.missed,
        );
    }
}

fn print_slope(slope: &Slope) {
    let points: Vec<String> = slope
        .points
        .iter()
        .map(|point| format!("{}:{}", format_number(point.x), format_number(point.y)))
        .collect();
    println!(
        "{:<28} {:>8} {:>14} {:>11} {:>12} {:>7.4} {:>12} {:>10}  {} [{}]",
        slope.name,
        slope.per,
        format_number(slope.fit.slope),
        format_number(slope.fit.slope_error),
        format_number(slope.fit.intercept),
        slope.fit.r2,
        format_number(slope.design_y),
        slope.budget.map_or(String::new(), format_number),
        points.join(" "),
        slope.unit,
    );
}

fn print_figure(figure: &Figure) {
    println!(
        "{:<44} {:>14} {:<12} {:>10}",
        figure.name,
        format_number(figure.value),
        figure.unit,
        figure.limit.map_or(String::new(), format_number),
    );
}

/// Formats a number with about four significant digits.
fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 || value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    let digits = if magnitude >= 100.0 {
        1
    } else if magnitude >= 1.0 {
        3
    } else {
        6
    };
    format!("{value:.digits$}")
}
