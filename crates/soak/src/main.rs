//! The program of the soak: a line of JSON a run, and exit code 1 if a promise wasn't kept.

use {
    std::process::ExitCode,
    whinlatch_soak::{options, play},
};

fn main() -> ExitCode {
    let options = options().run();
    let mut is_clean = true;
    for seed in options.seeds.iter().cloned().flatten() {
        let line = play(seed, &options).and_then(|played| {
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
