use bpaf::{Parser, construct, long};

/// Default of `--requests`.
const DEFAULT_REQUESTS: u32 = 2_000;
/// Default of `--streams`.
const DEFAULT_STREAMS: u32 = 1_000;
/// Default of `--concurrency`.
const DEFAULT_CONCURRENCY: u32 = 32;

/// Options of the `path` command.
#[derive(Debug)]
pub struct PathArgs {
    /// Requests sent to the engine, and as many through the daemon; twice as many in the closed loop.
    pub requests: u32,
    /// Streams open at the same time.
    pub streams: u32,
    /// Requests in flight at the same time in the closed loop.
    pub concurrency: u32,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Returns the parser of the command's options.
pub fn path_args() -> impl Parser<PathArgs> {
    let requests = count(
        "requests",
        "Requests sent to the engine, and as many through the daemon",
        DEFAULT_REQUESTS,
    );
    let streams = count("streams", "Streams open at the same time", DEFAULT_STREAMS);
    let concurrency = count(
        "concurrency",
        "Requests in flight in the closed loop",
        DEFAULT_CONCURRENCY,
    );
    let json = long("json").help("Print JSON").switch();
    construct!(PathArgs {
        requests,
        streams,
        concurrency,
        json
    })
}

/// Returns the parser of an option that takes a positive number.
fn count(name: &'static str, help: &'static str, default: u32) -> impl Parser<u32> {
    long(name)
        .help(help)
        .argument::<u32>("N")
        .guard(|count| *count > 0, "must be at least 1")
        .fallback(default)
        .display_fallback()
}
