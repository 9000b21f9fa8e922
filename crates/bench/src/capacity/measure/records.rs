//! Slopes over the number of records, and memory at the size that is designed for.

use {
    super::{
        loaded::{Answers, Loaded},
        per_second::at_rest,
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

/// Client accounts that are measured.
pub const SIZES: [usize; 3] = [100, 3_800, 38_000];
/// Targets, the same in each measurement.
const FEW_TARGETS: usize = 20;
/// Records in the frame whose bytes are counted.
const FRAME_RECORDS: usize = 1_000;
/// Daemons of the fleet at rest.
const DAEMONS: usize = 2;
/// Finished requests whose decisions are kept.
const FINISHED: usize = 2_000;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// Measures cores that hold several numbers of accounts.
pub fn measure(sizes: &[usize]) -> Report {
    let mut memory = Vec::new();
    let mut load = Vec::new();
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    let mut rest_bytes = Vec::new();
    for accounts in sizes {
        let x = *accounts as f64;
        let answers = Answers::of(published_size(*accounts));
        let before = Heap::now();
        let loaded = Loaded::from(&answers);
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
        let published = Published::of(published_size(*accounts));
        let spent = at_rest(FleetOptions::new(DAEMONS, published));
        cpu.push(Point { x, y: spent.cpu_ms });
        rest_bytes.push(Point {
            x,
            y: spent.bytes(),
        });
    }
    let design_x = ACCOUNTS as f64;
    let slope = |name, unit, points| Slope::new(name, "account", unit, design_x, points);
    let mut report = Report {
        slopes: vec![
            slope("records.memory", "B", memory).against(BUDGET_MEMORY_BYTES),
            slope("records.load_cpu", "ms", load),
            slope("records.platform_bytes", "B", bytes),
            slope("records.rest_cpu", "ms/s", cpu).against(BUDGET_CPU_MS_PER_S),
            slope("records.rest_bytes", "B/s", rest_bytes).against(BUDGET_BYTES_PER_S),
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

/// Bytes of a record in a frame between peers.
pub fn peer_bytes_per_record() -> f64 {
    let published = Published::of(published_size(FRAME_RECORDS));
    let frame = PeerFrame {
        records: published.records[published.records.len() - FRAME_RECORDS..].to_vec(),
        ..PeerFrame::default()
    };
    let bytes = encode_frame(&frame).expect("a thousand records fit into a frame");
    bytes.len() as f64 / FRAME_RECORDS as f64
}

/// Measures the memory of one core with all that it holds at the size that is designed for.
pub fn measure_memory() -> Report {
    let at_start = Heap::now();
    let answers = Answers::of(PublishedSize {
        daemons: size::DAEMONS,
        targets: TARGETS,
        accounts: ACCOUNTS,
    });
    let streams = size::open_streams();
    let own_streams = (streams / size::DAEMONS as f64) as usize;
    let target_streams = (streams / TARGETS as f64) as usize;
    let before = Heap::now();
    let mut loaded = Loaded::from(&answers);
    let records = Heap::now().since(before);
    loaded.link(size::DAEMONS - 1);
    loaded.hear_targets(TARGETS, target_streams);
    let fleet = Heap::now().since(before);
    requests::run_through(&mut loaded, FINISHED);
    requests::hold_open(&mut loaded, own_streams);
    let all = Heap::now().since(before);
    // With all that the making of the answers left behind in the allocator, so rather too much.
    let pages = i64::try_from(answers.page_bytes()).unwrap_or(i64::MAX);
    let resident = Heap::now().since(at_start).resident_bytes - pages;
    let figure =
        |name: &str, bytes: i64| Figure::new(name, bytes as f64, "B").against(BUDGET_MEMORY_BYTES);
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
