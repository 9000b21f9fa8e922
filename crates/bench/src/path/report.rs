use super::figures::{AddedLatency, Comparison, Figures, Idle, Streams, Throughput};

/// Prints the results as text.
pub fn print(figures: &Figures) {
    print_added(&figures.added);
    print_rate(&figures.rate);
    print_streams(&figures.streams);
    print_idle(&figures.idle);
}

fn print_added(added: &AddedLatency) {
    println!(
        "short streamed request, {} each way, one in flight",
        added.requests
    );
    println!(
        "{:<14} {:>5} {:>10} {:>10} {:>10} {:>7}",
        "time to", "", "direct us", "daemon us", "added us", "ratio"
    );
    print_comparison("first chunk", &added.first_chunk);
    print_comparison("whole answer", &added.whole);
}

fn print_comparison(name: &str, comparison: &Comparison) {
    println!(
        "{name:<14} {:>5} {:>10} {:>10} {:>10} {:>7.2}",
        "p50",
        comparison.direct.p50_us,
        comparison.daemon.p50_us,
        comparison.added_p50_us,
        comparison.ratio_p50
    );
    println!(
        "{name:<14} {:>5} {:>10} {:>10} {:>10} {:>7.2}",
        "p99",
        comparison.direct.p99_us,
        comparison.daemon.p99_us,
        comparison.added_p99_us,
        comparison.ratio_p99
    );
}

fn print_rate(rate: &Throughput) {
    println!(
        "\nclosed loop, {} requests, {} in flight: {:.0} requests a second, whole answer p50 {} us, \
         p99 {} us",
        rate.requests, rate.concurrency, rate.requests_per_s, rate.whole.p50_us, rate.whole.p99_us
    );
    println!(
        "processor time of the daemon: {:.0} us a request, {:.0} requests a core-second",
        rate.cpu_us_per_request, rate.requests_per_core_s
    );
    for (thread, us) in &rate.cpu_us_by_thread {
        println!("  {thread:<16} {us:>8.1} us");
    }
}

fn print_streams(streams: &Streams) {
    println!("\nopen streams: {} of {}", streams.opened, streams.asked);
    println!(
        "{:<10} {:>9} {:>9} {:>12} {:>8}",
        "", "rss KiB", "peak KiB", "descriptors", "threads"
    );
    let rows = [
        ("fresh", streams.fresh),
        ("before", streams.before),
        ("open", streams.open),
        ("after", streams.after),
    ];
    for (name, resources) in rows {
        println!(
            "{name:<10} {:>9} {:>9} {:>12} {:>8}",
            resources.rss_kib, resources.peak_rss_kib, resources.descriptors, resources.threads
        );
    }
    println!(
        "{:.0} bytes a stream, {:.1} % of a core with a piece a second on each",
        streams.bytes_per_stream, streams.cpu_percent
    );
}

fn print_idle(idle: &Idle) {
    println!(
        "\nidle with {} peers over {} ms: {:.2} % of a core, {} KiB resident, {} descriptors",
        idle.peers, idle.measured_ms, idle.cpu_percent, idle.held.rss_kib, idle.held.descriptors
    );
    for (thread, percent) in &idle.cpu_percent_by_thread {
        println!("  {thread:<16} {percent:>7.3} %");
    }
}
