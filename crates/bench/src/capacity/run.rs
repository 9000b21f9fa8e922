use {
    super::{
        args::CapacityArgs,
        measure,
        report::{self, Report},
    },
    std::process::ExitCode,
};

/// Runs the measurement.
pub fn run(args: &CapacityArgs) -> ExitCode {
    let report = if args.exact {
        measure::exact()
    } else {
        measure::all(args.only)
    };
    show(&report, args.json);
    let Some(folder) = &args.plot else {
        return ExitCode::SUCCESS;
    };
    match report::draw(&report, folder) {
        Ok(drawn) => {
            eprintln!("{drawn} pictures are in {}", folder.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn show(report: &Report, json: bool) {
    if json {
        let text = serde_json::to_string_pretty(report).expect("a report is plain data");
        println!("{text}");
    } else {
        report::print(report);
    }
}
