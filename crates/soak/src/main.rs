//! The program of the soak: a line of JSON a run, and exit code 1 if a promise wasn't kept.

use {
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{io, process::ExitCode, sync::Arc, thread},
    whinlatch_soak::{Flag, options, play},
};

fn main() -> ExitCode {
    let options = options().run();
    let is_stopped = match stop_flag() {
        Ok(flag) => flag,
        Err(fault) => {
            eprintln!("signals can't be awaited: {fault}");
            return ExitCode::FAILURE;
        }
    };
    let mut is_clean = true;
    for seed in options.seeds.iter().cloned().flatten() {
        if is_stopped.is_set() {
            eprintln!("stopped before seed {seed}");
            return ExitCode::FAILURE;
        }
        let line = play(seed, &options, &is_stopped).and_then(|played| {
            is_clean &= played.findings.is_empty();
            Ok(serde_json::to_string(&played)?)
        });
        match line {
            Ok(line) => println!("{line}"),
            Err(fault) => {
                eprintln!("seed {seed} was not played: {fault}");
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

/// Set by a signal to stop: the run ends early then, and with it the processes that it started.
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
