//! Slopes by number of records, and memory at the design size.

use {
    super::{
        idle_cost::measure_idle,
        loaded_core::{LoadedCore, PlatformAnswers},
        requests,
    },
    crate::capacity::{
        fit::Point,
        fleet::{FleetOptions, Published, PublishedSize},
        heap::Heap,
        report::{Figure, Report, Slope},
        size::{
            self, ACCOUNTS, BUDGET_BYTES_PER_S, BUDGET_CPU_MS_PER_S, BUDGET_MEMORY_BYTES, TARGETS,
        },
    },
    whinlatch_wire::peer::{PeerFrame, encode_frame},
};

/// Numbers of client accounts that are measured.
pub const SIZES: [usize; 3] = [100, 3_800, 38_000];
/// Targets in each measurement except that of memory.
const FEW_TARGETS: usize = 20;
/// Records in the frame whose size is measured.
const FRAME_RECORDS: usize = 1_000;
/// Daemons in the idle fleet.
const DAEMONS: usize = 2;
/// Finished requests, whose decisions the core retains.
const FINISHED: usize = 2_000;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Measures cores with several numbers of accounts.
pub fn measure(sizes: &[usize]) -> Report {
    let mut memory = Vec::new();
    let mut load = Vec::new();
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    let mut idle_bytes = Vec::new();
    for accounts in sizes {
        let x = *accounts as f64;
        let answers = PlatformAnswers::new(published_size(*accounts));
        let before = Heap::now();
        let loaded = LoadedCore::new(&answers);
        let used = Heap::now().since(before);
        memory.push(Point {
            x,
            y: used.allocated_bytes as f64,
        });
        load.push(Point {
            x,
            y: loaded.load_ns as f64 / NS_PER_MS,
        });
        bytes.push(Point {
            x,
            y: answers.page_bytes() as f64,
        });
        drop(loaded);
        let published = Published::new(published_size(*accounts));
        let cost = measure_idle(FleetOptions::new(DAEMONS, published));
        cpu.push(Point { x, y: cost.cpu_ms });
        idle_bytes.push(Point { x, y: cost.bytes() });
    }
    let design_x = ACCOUNTS as f64;
    let slope = |name, unit, points| Slope::new(name, "account", unit, design_x, points);
    let mut report = Report {
        slopes: vec![
            slope("records.memory", "B", memory).with_budget(BUDGET_MEMORY_BYTES),
            slope("records.load_cpu", "ms", load),
            slope("records.platform_bytes", "B", bytes),
            slope("records.rest_cpu", "ms/s", cpu).with_budget(BUDGET_CPU_MS_PER_S),
            slope("records.rest_bytes", "B/s", idle_bytes).with_budget(BUDGET_BYTES_PER_S),
        ],
        ..Report::default()
    };
    report.figures.push(Figure::new(
        "records.peer_bytes_per_record",
        peer_bytes_per_record(),
        "B",
    ));
    report
}

fn published_size(accounts: usize) -> PublishedSize {
    PublishedSize {
        daemons: DAEMONS,
        targets: FEW_TARGETS,
        accounts,
    }
}

/// Returns the mean size of a record in a frame between peers, in bytes.
pub fn peer_bytes_per_record() -> f64 {
    let published = Published::new(published_size(FRAME_RECORDS));
    let frame = PeerFrame {
        records: published.records[published.records.len() - FRAME_RECORDS..].to_vec(),
        ..PeerFrame::default()
    };
    let bytes = encode_frame(&frame).expect("a thousand records fit into a frame");
    bytes.len() as f64 / FRAME_RECORDS as f64
}

/// Measures the memory of one core at the design size with records, peers, targets and requests.
pub fn measure_memory() -> Report {
    let at_start = Heap::now();
    let answers = PlatformAnswers::new(PublishedSize {
        daemons: size::DAEMONS,
        targets: TARGETS,
        accounts: ACCOUNTS,
    });
    let streams = size::open_streams();
    let own_streams = (streams / size::DAEMONS as f64) as usize;
    let target_streams = (streams / TARGETS as f64) as usize;
    let before = Heap::now();
    let mut loaded = LoadedCore::new(&answers);
    let records = Heap::now().since(before);
    loaded.open_links(size::DAEMONS - 1);
    loaded.apply_target_reports(TARGETS, target_streams);
    let fleet = Heap::now().since(before);
    requests::run_to_end(&mut loaded, FINISHED);
    requests::hold_open(&mut loaded, own_streams);
    let all = Heap::now().since(before);
    // Includes memory that the allocator kept after the responses were encoded, so this is an upper bound.
    let pages = i64::try_from(answers.page_bytes()).unwrap_or(i64::MAX);
    let resident = Heap::now().since(at_start).resident_bytes - pages;
    let figure = |name: &str, bytes: i64| {
        Figure::new(name, bytes as f64, "B").with_limit(BUDGET_MEMORY_BYTES)
    };
    let figures = vec![
        figure("memory.records", records.allocated_bytes),
        figure("memory.records_and_fleet", fleet.allocated_bytes),
        figure("memory.all", all.allocated_bytes),
        figure("memory.all_resident", resident),
    ];
    Report {
        figures,
        ..Report::default()
    }
}
