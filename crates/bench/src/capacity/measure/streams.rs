//! Slopes over the number of open streams.

use {
    super::{
        loaded::{Answers, Loaded},
        per_second::at_rest,
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

/// Open streams of one daemon that are measured.
pub const SIZES: [usize; 4] = [100, 400, 1_600, 6_400];
/// Open streams at each target that are measured.
const STREAMS_PER_TARGET: [usize; 4] = [0, 32, 64, 130];
/// Targets.
const TARGETS: usize = 20;
/// Client accounts.
const ACCOUNTS: usize = 100;
/// Ticks that are measured.
const TICKS: u64 = 200;
/// Time between ticks, in ms.
const TICK_MS: u64 = 50;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// Measures one core with several numbers of open streams, and reports of targets that list them.
pub fn measure(sizes: &[usize]) -> Report {
    let answers = Answers::of(published_size());
    let mut memory = Vec::new();
    let mut cpu = Vec::new();
    for streams in sizes {
        let x = *streams as f64;
        let mut loaded = Loaded::from(&answers);
        loaded.hear_targets(TARGETS, 0);
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
            Slope::new("streams.memory", "stream", "B", own, memory).against(BUDGET_MEMORY_BYTES),
            Slope::new("streams.tick_cpu", "stream", "ms/s", own, cpu).against(BUDGET_CPU_MS_PER_S),
        ]
        .into_iter()
        .chain(reports())
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

fn tick_ms_per_s(loaded: &mut Loaded) -> f64 {
    let mut cpu_ns = 0;
    for _ in 0..TICKS {
        loaded.step();
        let now = loaded.now;
        let actions = timed(&mut cpu_ns, || loaded.core.handle(now, Event::Tick));
        drop(actions);
    }
    let seconds = (TICKS * TICK_MS) as f64 / 1_000.0;
    cpu_ns as f64 / NS_PER_MS / seconds
}

/// Bytes and processor time of load reports by the open streams at the targets that are read.
fn reports() -> [Slope; 2] {
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    for streams in STREAMS_PER_TARGET {
        let mut options = FleetOptions::new(1, Published::of(published_size()));
        options.streams_per_target = streams;
        let spent = at_rest(options);
        let x = (streams * TARGETS) as f64;
        bytes.push(Point {
            x,
            y: spent.target_bytes,
        });
        cpu.push(Point { x, y: spent.cpu_ms });
    }
    let slope = |name, unit, points| Slope::new(name, "stream", unit, open_streams(), points);
    [
        slope("streams.report_bytes", "B/s", bytes).against(BUDGET_BYTES_PER_S),
        slope("streams.report_cpu", "ms/s", cpu).against(BUDGET_CPU_MS_PER_S),
    ]
}
