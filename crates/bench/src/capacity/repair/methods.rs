use {
    super::{
        buckets,
        cases::{Case, Holder, Spread},
        exchange_cost::ExchangeCost,
        index::Index,
        newer,
        replica::Replica,
    },
    crate::capacity::{
        clock::timed,
        report::{Figure, Report},
    },
    serde::Serialize,
};

/// Numbers of records that differ. 104 is the average number of changes in an hour.
const DIFFERENCES: [usize; 5] = [1, 25, 104, 250, 2_500];
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// A method of repair, with its number of buckets or of groups of buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Method {
    After,
    FlatIds(usize),
    Groups(usize),
    AfterThenGroups(usize),
}

/// Methods that are compared.
const METHODS: [Method; 4] = [
    Method::After,
    Method::FlatIds(1_024),
    Method::Groups(64),
    Method::AfterThenGroups(64),
];

/// Result of one method in one case.
#[derive(Debug, Clone, Serialize)]
pub struct Repair {
    /// Name of the method, with its sizes.
    pub way: String,
    /// Number of records that differed.
    pub differences: usize,
    /// Distribution of their keys.
    pub spread: Spread,
    /// Replicas that had the changes.
    pub holder: Holder,
    /// Bytes of all messages in both directions.
    pub bytes: usize,
    /// Number of messages that had to be sent one after another.
    pub legs: usize,
    /// CPU time of both replicas together, in ms.
    pub cpu_ms: f64,
    /// Records that one of the replicas still lacks afterwards.
    pub missed: usize,
}

/// Runs all methods on all cases, and measures the cost of building an index.
pub fn measure() -> Report {
    let mut report = Report::default();
    for holder in [Holder::One, Holder::Both] {
        for spread in [Spread::Clustered, Spread::Scattered] {
            for differences in DIFFERENCES {
                report.repairs.extend(run_all(Case {
                    differences,
                    spread,
                    holder,
                }));
            }
        }
    }
    report.figures.push(index_cost());
    report
}

/// Runs all methods on an hour's changes. Bytes, legs and missed records are the same in each run.
pub fn measure_exact() -> Report {
    /// Average number of changes in an hour.
    const CHANGES_PER_HOUR: usize = 104;
    let cases = [Holder::One, Holder::Both].map(|holder| Case {
        differences: CHANGES_PER_HOUR,
        spread: Spread::Scattered,
        holder,
    });
    Report {
        repairs: cases.into_iter().flat_map(run_all).collect(),
        ..Report::default()
    }
}

/// Runs all methods on a case.
fn run_all(case: Case) -> Vec<Repair> {
    let (a, b) = case.replicas();
    let each = METHODS.iter().map(|method| method.run(case, &a, &b));
    each.collect()
}

/// Measures the CPU time of indexing all records.
fn index_cost() -> Figure {
    let (a, _) = Case {
        differences: 1,
        spread: Spread::Clustered,
        holder: Holder::One,
    }
    .replicas();
    let mut index_ns = 0;
    timed(&mut index_ns, || Index::new(&a));
    Figure::new("repair.index_all", index_ns as f64 / NS_PER_MS, "ms")
}

impl Method {
    fn run(self, case: Case, a: &Replica, b: &Replica) -> Repair {
        let (mut a, mut b) = (a.clone(), b.clone());
        let cost = self.repair(&mut a, &mut b);
        Repair {
            way: self.name(),
            differences: case.differences,
            spread: case.spread,
            holder: case.holder,
            bytes: cost.bytes,
            legs: cost.legs,
            cpu_ms: cost.cpu_ns as f64 / NS_PER_MS,
            missed: a.count_missing(&b) + b.count_missing(&a),
        }
    }

    fn repair(self, a: &mut Replica, b: &mut Replica) -> ExchangeCost {
        match self {
            Self::After => newer::repair(a, b),
            Self::FlatIds(buckets) => buckets::repair_by_buckets(a, b, buckets),
            Self::Groups(groups) => buckets::repair_by_groups(a, b, groups),
            Self::AfterThenGroups(groups) => newer::repair_and_check(a, b, groups),
        }
    }

    fn name(self) -> String {
        match self {
            Self::After => "after".to_owned(),
            Self::FlatIds(buckets) => format!("flat ids {buckets}"),
            Self::Groups(groups) => format!("groups {groups}x{groups}"),
            Self::AfterThenGroups(groups) => format!("after, {groups}x{groups}"),
        }
    }
}
