//! Slopes by number of open streams.

use {
    super::{
        idle_cost::measure_idle,
        loaded_core::{LoadedCore, PlatformAnswers},
        requests,
    },
    crate::capacity::{
        clock::timed,
        fit::Point,
        fleet::{FleetOptions, Published, PublishedSize},
        heap::Heap,
        report::{Report, Slope},
        size::{self, BUDGET_BYTES_PER_S, BUDGET_CPU_MS_PER_S, BUDGET_MEMORY_BYTES, open_streams},
    },
    whinlatch_core::Event,
};

/// Numbers of open streams of one daemon that are measured.
pub const SIZES: [usize; 4] = [100, 400, 1_600, 6_400];
/// Numbers of open streams at each target that are measured.
const STREAMS_PER_TARGET: [usize; 4] = [0, 32, 64, 130];
/// Targets in each measurement.
const TARGETS: usize = 20;
/// Client accounts in each measurement.
const ACCOUNTS: usize = 100;
/// Ticks over which CPU time is counted.
const TICKS: u64 = 200;
/// Interval between ticks, in ms.
const TICK_INTERVAL_MS: u64 = 50;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Measures a core with several numbers of open streams, and the load reports that list streams.
pub fn measure(sizes: &[usize]) -> Report {
    let answers = PlatformAnswers::new(published_size());
    let mut memory = Vec::new();
    let mut cpu = Vec::new();
    for streams in sizes {
        let x = *streams as f64;
        let mut loaded = LoadedCore::new(&answers);
        loaded.apply_target_reports(TARGETS, 0);
        let before = Heap::now();
        let open = requests::hold_open(&mut loaded, *streams);
        let used = Heap::now().since(before);
        assert_eq!(
            open, *streams,
            "each request is sent to a target and stays open"
        );
        memory.push(Point {
            x,
            y: used.allocated_bytes as f64,
        });
        cpu.push(Point {
            x,
            y: tick_ms_per_s(&mut loaded),
        });
    }
    let own = open_streams() / size::DAEMONS as f64;
    Report {
        slopes: [
            Slope::new("streams.memory", "stream", "B", own, memory)
                .with_budget(BUDGET_MEMORY_BYTES),
            Slope::new("streams.tick_cpu", "stream", "ms/s", own, cpu)
                .with_budget(BUDGET_CPU_MS_PER_S),
        ]
        .into_iter()
        .chain(report_slopes())
        .collect(),
        ..Report::default()
    }
}

fn published_size() -> PublishedSize {
    PublishedSize {
        daemons: 1,
        targets: TARGETS,
        accounts: ACCOUNTS,
    }
}

/// Returns the CPU time of ticks per second of virtual time, in ms.
fn tick_ms_per_s(loaded: &mut LoadedCore) -> f64 {
    let mut cpu_ns = 0;
    for _ in 0..TICKS {
        loaded.step();
        let now = loaded.now;
        let actions = timed(&mut cpu_ns, || loaded.core.handle(now, Event::Tick));
        drop(actions);
    }
    let seconds = (TICKS * TICK_INTERVAL_MS) as f64 / 1_000.0;
    cpu_ns as f64 / NS_PER_MS / seconds
}

/// Measures bytes and CPU time of load reports by number of open streams at all targets.
fn report_slopes() -> [Slope; 2] {
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    for streams in STREAMS_PER_TARGET {
        let mut options = FleetOptions::new(1, Published::new(published_size()));
        options.streams_per_target = streams;
        let cost = measure_idle(options);
        let x = (streams * TARGETS) as f64;
        bytes.push(Point {
            x,
            y: cost.target_bytes,
        });
        cpu.push(Point { x, y: cost.cpu_ms });
    }
    let slope = |name, unit, points| Slope::new(name, "stream", unit, open_streams(), points);
    [
        slope("streams.report_bytes", "B/s", bytes).with_budget(BUDGET_BYTES_PER_S),
        slope("streams.report_cpu", "ms/s", cpu).with_budget(BUDGET_CPU_MS_PER_S),
    ]
}
