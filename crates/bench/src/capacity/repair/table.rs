use {
    super::{
        after,
        cases::{Case, Holder, Spread},
        flat,
        index::Index,
        side::Side,
        transcript::Transcript,
    },
    crate::capacity::{
        clock::timed,
        report::{Figure, Report},
    },
    serde::Serialize,
};

/// Records that differ; 104 is an hour's share of the changes of a day.
const DIFFERENCES: [usize; 5] = [1, 25, 104, 250, 2_500];
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// A way of repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Way {
    After,
    FlatIds(usize),
    Groups(usize),
    AfterThenGroups(usize),
}

/// The ways that are weighed.
const WAYS: [Way; 4] = [
    Way::After,
    Way::FlatIds(1_024),
    Way::Groups(64),
    Way::AfterThenGroups(64),
];

/// How one way repaired one case.
#[derive(Debug, Clone, Serialize)]
pub struct Repair {
    /// The way, with its sizes.
    pub way: String,
    /// Records that differed.
    pub differences: usize,
    /// Where their keys lay.
    pub spread: Spread,
    /// Which side held the changes.
    pub holder: Holder,
    /// Bytes of all messages, both ways.
    pub bytes: usize,
    /// Messages that had to wait for one another.
    pub legs: usize,
    /// Processor time of both sides together, in ms.
    pub cpu_ms: f64,
    /// Records that one side still lacks.
    pub missed: usize,
}

/// Plays all ways on all cases.
pub fn measure() -> Report {
    let mut report = Report::default();
    for holder in [Holder::One, Holder::Both] {
        for spread in [Spread::Clustered, Spread::Scattered] {
            for differences in DIFFERENCES {
                report.repairs.extend(play(Case {
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

/// Plays all ways on an hour's changes, which is the same in each run.
pub fn measure_exact() -> Report {
    /// An hour's share of the changes of a day.
    const HOUR: usize = 104;
    let cases = [Holder::One, Holder::Both].map(|holder| Case {
        differences: HOUR,
        spread: Spread::Scattered,
        holder,
    });
    Report {
        repairs: cases.into_iter().flat_map(play).collect(),
        ..Report::default()
    }
}

fn play(case: Case) -> Vec<Repair> {
    let (a, b) = case.sides();
    let each = WAYS.iter().map(|way| way.play(case, &a, &b));
    each.collect()
}

fn index_cost() -> Figure {
    let (a, _) = Case {
        differences: 1,
        spread: Spread::Clustered,
        holder: Holder::One,
    }
    .sides();
    let mut index_ns = 0;
    timed(&mut index_ns, || Index::of(&a));
    Figure::new("repair.index_all", index_ns as f64 / NS_PER_MS, "ms")
}

impl Way {
    fn play(self, case: Case, a: &Side, b: &Side) -> Repair {
        let (mut a, mut b) = (a.clone(), b.clone());
        let transcript = self.repair(&mut a, &mut b);
        Repair {
            way: self.name(),
            differences: case.differences,
            spread: case.spread,
            holder: case.holder,
            bytes: transcript.bytes,
            legs: transcript.legs,
            cpu_ms: transcript.cpu_ns as f64 / NS_PER_MS,
            missed: a.missing_from(&b) + b.missing_from(&a),
        }
    }

    fn repair(self, a: &mut Side, b: &mut Side) -> Transcript {
        match self {
            Self::After => after::repair(a, b),
            Self::FlatIds(buckets) => flat::repair_by_ids(a, b, buckets),
            Self::Groups(groups) => flat::repair_by_groups(a, b, groups),
            Self::AfterThenGroups(groups) => after::repair_and_check(a, b, groups),
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
