use bpaf::{Parser, construct, long};

/// Requests asked each way unless told otherwise.
const REQUESTS: u32 = 2_000;
/// Streams opened unless told otherwise.
const STREAMS: u32 = 1_000;
/// Requests in flight at once in the closed loop unless told otherwise.
const CONCURRENCY: u32 = 32;

/// Options of the measurement.
#[derive(Debug)]
pub struct PathArgs {
    /// Requests asked directly and as many through the daemon; twice as many in the closed loop.
    pub requests: u32,
    /// Streams open at once.
    pub streams: u32,
    /// Requests in flight at once in the closed loop.
    pub concurrency: u32,
    /// Print JSON.
    pub json: bool,
}

/// Reads the options.
pub fn path_args() -> impl Parser<PathArgs> {
    let requests = count("requests", "Requests asked each way", REQUESTS);
    let streams = count("streams", "Streams open at once", STREAMS);
    let concurrency = count(
        "concurrency",
        "Requests in flight in the closed loop",
        CONCURRENCY,
    );
    let json = long("json").help("Print JSON").switch();
    construct!(PathArgs {
        requests,
        streams,
        concurrency,
        json
    })
}

fn count(name: &'static str, help: &'static str, usual: u32) -> impl Parser<u32> {
    long(name)
        .help(help)
        .argument::<u32>("N")
        .guard(|count| *count > 0, "write at least 1")
        .fallback(usual)
        .display_fallback()
}
