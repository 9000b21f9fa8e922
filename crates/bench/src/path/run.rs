use {
    super::{args::PathArgs, errors::PathError, figures::Figures, measure, report, setup::Setup},
    std::process::ExitCode,
};

/// Runs the command: measures and prints the results.
pub fn run(args: &PathArgs) -> ExitCode {
    match async_std::task::block_on(measure_all(args)) {
        Ok(figures) => {
            print(&figures, args.json);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure_all(args: &PathArgs) -> Result<Figures, PathError> {
    let mut setup = Setup::start(args).await?;
    let fresh = setup.daemon_usage().resources()?;
    Ok(Figures {
        added: measure::added(&setup, args.requests).await?,
        rate: measure::rate(&setup, args).await?,
        streams: measure::streams(&setup, args.streams, fresh).await?,
        idle: measure::idle(&mut setup).await?,
    })
}

fn print(figures: &Figures, json: bool) {
    if json {
        let text = serde_json::to_string_pretty(figures).expect("figures always serialize");
        println!("{text}");
    } else {
        report::print(figures);
    }
}
