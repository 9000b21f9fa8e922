//! Program of the soak test: prints a line of JSON per run, and exits with code 1 if a run broke a promise
//! or couldn't be completed.

use {
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{io, process::ExitCode, sync::Arc, thread},
    whinlatch_soak::{Flag, options, run_seed},
};

fn main() -> ExitCode {
    let options = options().run();
    let is_stopped = match stop_flag() {
        Ok(flag) => flag,
        Err(fault) => {
            eprintln!("signal handlers can't be installed: {fault}");
            return ExitCode::FAILURE;
        }
    };
    let mut is_clean = true;
    for seed in options.seeds.iter().cloned().flatten() {
        if is_stopped.is_set() {
            eprintln!("stopped before seed {seed}");
            return ExitCode::FAILURE;
        }
        let line = run_seed(seed, &options, &is_stopped).and_then(|report| {
            is_clean &= report.findings.is_empty();
            Ok(serde_json::to_string(&report)?)
        });
        match line {
            Ok(line) => println!("{line}"),
            Err(fault) => {
                eprintln!("seed {seed}: the run failed: {fault}");
                is_clean = false;
            }
        }
    }
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns a flag that SIGINT or SIGTERM sets. It ends the current run early, and with it the processes that
/// the run started.
fn stop_flag() -> io::Result<Arc<Flag>> {
    let flag = Arc::new(Flag::default());
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let set = Arc::clone(&flag);
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            set.set();
        }
    });
    Ok(flag)
}
