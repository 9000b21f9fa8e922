use {
    super::{
        args::CapacityArgs,
        measure,
        report::{self, Report},
    },
    std::process::ExitCode,
};

/// Runs the command: measures, prints the report and draws the charts.
pub fn run(args: &CapacityArgs) -> ExitCode {
    let report = if args.exact {
        measure::exact()
    } else {
        measure::all(args.only)
    };
    print(&report, args.json);
    let Some(directory) = &args.plot else {
        return ExitCode::SUCCESS;
    };
    match report::draw(&report, directory) {
        Ok(drawn) => {
            eprintln!("wrote {drawn} charts to {}", directory.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print(report: &Report, json: bool) {
    if json {
        let text = serde_json::to_string_pretty(report).expect("a report always serializes");
        println!("{text}");
    } else {
        report::print(report);
    }
}
