//! Simulates a mix of requests against the decision logic of several daemons in virtual time and
//! compares whinlatch with common load-balancing rules.

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
    mix::{FileError, Mix, read_jsonc},
    report::{Report, WHINLATCH, against_best},
    setup::{Policy, Setup},
    simulation::simulate,
    std::{path::PathBuf, process::ExitCode, thread},
};

/// Options of the `policy` command.
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

/// Policies by name, in the order of the report.
const POLICIES: [(&str, Policy); 4] = [
    (WHINLATCH, Policy::Whinlatch),
    ("round-robin", Policy::Baseline(Rule::RoundRobin)),
    (
        "least-outstanding",
        Policy::Baseline(Rule::LeastOutstanding),
    ),
    ("two-choices", Policy::Baseline(Rule::TwoChoices)),
];

fn parse_policy(name: &str) -> Result<Vec<(&'static str, Policy)>, String> {
    if name == "all" {
        return Ok(POLICIES.to_vec());
    }
    let found = POLICIES.iter().find(|(known, _)| *known == name);
    let names: Vec<&str> = POLICIES.iter().map(|(known, _)| *known).collect();
    found
        .map(|policy| vec![*policy])
        .ok_or_else(|| format!("unknown policy {name}: expected all, {}", names.join(", ")))
}

/// Returns the parser of the command's options.
pub fn policy_args() -> impl Parser<PolicyArgs> {
    let mix = long("mix")
        .help("trueque, kalesa, or a file in the format of docs/BENCHMARKS.md")
        .argument::<String>("MIX");
    let policy = long("policy")
        .help("whinlatch, round-robin, least-outstanding, two-choices or all")
        .argument::<String>("POLICY")
        .fallback("all".to_owned())
        .parse(|name| parse_policy(&name));
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
        .help("Offered work as a fraction of the capacity of all targets")
        .argument::<f64>("LOAD")
        .fallback(0.8)
        .guard(|load| *load > 0.0 && load.is_finite(), "use a load above 0");
    let seed = long("seed")
        .help("Seed of all random generators")
        .argument::<u64>("SEED")
        .fallback(1);
    let faults = long("faults")
        .help("File of faults to inject, in the format of docs/BENCHMARKS.md")
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

/// Runs the command: measures, prints the report and draws the chart.
pub fn run(args: &PolicyArgs) -> ExitCode {
    let report = match measure(args) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("policy: {error}");
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
            "policy: cannot draw the chart to {}: {error}",
            path.display()
        );
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn measure(args: &PolicyArgs) -> Result<Report, FileError> {
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

/// Measures one policy with the full mix and, for the slowdown, with only the short bands.
fn measure_one(
    args: &PolicyArgs,
    mix: &Mix,
    faults: &Faults,
    name: &str,
    policy: Policy,
) -> Figures {
    let short_mix = mix.short_only();
    let setup = |requests| Setup {
        mix: requests,
        load_mix: mix,
        policy,
        daemons: args.daemons,
        targets: args.targets,
        load: args.load,
        seed: args.seed,
        faults,
    };
    let full = setup(mix);
    let short_only = setup(&short_mix);
    figures(name, &full, &simulate(&full), &simulate(&short_only))
}
