//! Decisions under load: a mix of requests against the decisions of N daemons, in virtual time.

mod arrivals;
mod baseline;
mod cost;
mod daemon;
mod engine;
mod faults;
mod figures;
mod fleet_records;
mod mix;
mod plot;
mod prefix_cache;
mod report;
mod setup;
mod simulation;

use {
    baseline::Rule,
    bpaf::{Parser, construct, long},
    faults::Faults,
    figures::{Figures, figures},
    mix::{FileFault, Mix, read_jsonc},
    report::{OURS, Report, against_best},
    setup::{Policy, Setup},
    simulation::simulate,
    std::{path::PathBuf, process::ExitCode, thread},
};

/// Options of the measurement.
#[derive(Debug)]
pub struct PolicyArgs {
    mix: String,
    policy: Vec<(&'static str, Policy)>,
    daemons: usize,
    targets: usize,
    load: f64,
    seed: u64,
    faults: Option<String>,
    json: bool,
    plot: Option<PathBuf>,
}

const ALL: [(&str, Policy); 4] = [
    (OURS, Policy::Whinlatch),
    ("round-robin", Policy::Common(Rule::RoundRobin)),
    ("least-outstanding", Policy::Common(Rule::LeastOutstanding)),
    ("two-choices", Policy::Common(Rule::TwoChoices)),
];

fn policies(name: &str) -> Result<Vec<(&'static str, Policy)>, String> {
    if name == "all" {
        return Ok(ALL.to_vec());
    }
    let found = ALL.iter().find(|(known, _)| *known == name);
    let names: Vec<&str> = ALL.iter().map(|(known, _)| *known).collect();
    found
        .map(|policy| vec![*policy])
        .ok_or_else(|| format!("no policy is named {name}: use all, {}", names.join(", ")))
}

/// Reads the options.
pub fn policy_args() -> impl Parser<PolicyArgs> {
    let mix = long("mix")
        .help("trueque, kalesa, or a file in the format of docs/BENCHMARKS.md")
        .argument::<String>("MIX");
    let policy = long("policy")
        .help("whinlatch, round-robin, least-outstanding, two-choices or all")
        .argument::<String>("POLICY")
        .fallback("all".to_owned())
        .parse(|name| policies(&name));
    let daemons = long("daemons")
        .help("Number of daemons")
        .argument::<usize>("N")
        .fallback(8)
        .guard(|count| (1..=250).contains(count), "use 1 to 250 daemons");
    let targets = long("targets")
        .help("Number of targets")
        .argument::<usize>("N")
        .fallback(20)
        .guard(
            |count| (1..=10_000).contains(count),
            "use 1 to 10000 targets",
        );
    let load = long("load")
        .help("Work that arrives over work that all targets can do")
        .argument::<f64>("LOAD")
        .fallback(0.8)
        .guard(|load| *load > 0.0 && load.is_finite(), "use a load above 0");
    let seed = long("seed")
        .help("Seed of all chance")
        .argument::<u64>("SEED")
        .fallback(1);
    let faults = long("faults")
        .help("File of faults, in the format of docs/BENCHMARKS.md")
        .argument::<String>("FILE")
        .optional();
    let json = long("json").help("Print JSON").switch();
    let plot = long("plot")
        .help("Draw the figures as SVG")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(PolicyArgs {
        mix,
        policy,
        daemons,
        targets,
        load,
        seed,
        faults,
        json,
        plot,
    })
}

/// Runs the measurement.
pub fn run(args: &PolicyArgs) -> ExitCode {
    let report = match measure(args) {
        Ok(report) => report,
        Err(fault) => {
            eprintln!("policy: {fault}");
            return ExitCode::FAILURE;
        }
    };
    if args.json {
        println!("{:#}", serde_json::json!(report));
    } else {
        report::print(&report);
    }
    if let Some(path) = &args.plot
        && let Err(error) = plot::draw(&report, path)
    {
        eprintln!(
            "policy: {} can't be drawn ({error}): name a file that can be written",
            path.display()
        );
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn measure(args: &PolicyArgs) -> Result<Report, FileFault> {
    let mix = Mix::load(&args.mix)?;
    let faults = match &args.faults {
        Some(path) => read_jsonc(path)?,
        None => Faults::default(),
    };
    let policies: Vec<Figures> = thread::scope(|scope| {
        let runs: Vec<_> = args
            .policy
            .iter()
            .map(|(name, policy)| scope.spawn(|| measure_one(args, &mix, &faults, name, *policy)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("a run doesn't panic"))
            .collect()
    });
    Ok(Report {
        mix: mix.name,
        daemons: args.daemons,
        targets: args.targets,
        load: args.load,
        seed: args.seed,
        against_best: against_best(&policies),
        policies,
    })
}

fn measure_one(
    args: &PolicyArgs,
    mix: &Mix,
    faults: &Faults,
    name: &str,
    policy: Policy,
) -> Figures {
    let short = mix.short_only();
    let setup = |requests| Setup {
        mix: requests,
        rate_of: mix,
        policy,
        daemons: args.daemons,
        targets: args.targets,
        load: args.load,
        seed: args.seed,
        faults,
    };
    let with = setup(mix);
    let without = setup(&short);
    figures(name, &with, &simulate(&with), &simulate(&without))
}
