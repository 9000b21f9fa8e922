//! Bytes, frames, reads, rounds and counts of control against their committed bounds.

use {
    serde_json::Value,
    std::{collections::BTreeMap, path::Path, process::Command, sync::LazyLock},
};

/// What was measured, by name; a point of a slope has its size at the end of its name.
type Figures = BTreeMap<String, f64>;

/// One run, shared by the tests.
static MEASURED: LazyLock<Figures> = LazyLock::new(measure);

#[test]
fn exact_figures_keep_their_bounds() {
    let bounds = read_bounds();
    let measured = &*MEASURED;

    let broken: Vec<String> = bounds
        .iter()
        .filter_map(|bound| bound.broken_by(measured))
        .collect();

    assert!(
        broken.is_empty(),
        "run `whinlatch-bench capacity --exact` and compare:\n{}",
        broken.join("\n")
    );
}

#[test]
fn no_bound_is_left_out() {
    let bounds = read_bounds();
    let measured = &*MEASURED;

    let unbound: Vec<&String> = measured
        .keys()
        .filter(|name| is_exact(name))
        .filter(|name| !bounds.iter().any(|bound| bound.name == **name))
        .collect();

    assert!(unbound.is_empty(), "write bounds for {unbound:?}");
}

/// How a figure may compare with its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Relation {
    AtMost,
    AtLeast,
}

#[derive(Debug)]
struct Bound {
    name: String,
    relation: Relation,
    value: f64,
}

impl Bound {
    fn broken_by(&self, measured: &Figures) -> Option<String> {
        let Some(value) = measured.get(&self.name) else {
            return Some(format!("{} is not measured", self.name));
        };
        let holds = match self.relation {
            Relation::AtMost => *value <= self.value,
            Relation::AtLeast => *value >= self.value,
        };
        let (name, relation, bound) = (&self.name, self.relation, self.value);
        (!holds).then(|| format!("{name} is {value}, bound {relation:?} {bound}"))
    }
}

/// Processor time differs from run to run; all else is the same each time.
fn is_exact(name: &str) -> bool {
    let timed = ["cpu", ".time", "repair.index"];
    !timed.iter().any(|part| name.contains(part))
}

fn read_bounds() -> Vec<Bound> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("bounds/capacity.jsonc");
    let text = std::fs::read_to_string(path).expect("the bounds are committed");
    let bounds = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
        .expect("the bounds are JSON with comments")
        .expect("the bounds are not empty");
    [
        ("at_most", Relation::AtMost),
        ("at_least", Relation::AtLeast),
    ]
    .into_iter()
    .flat_map(|(field, relation)| bounds_of(&bounds[field], relation))
    .collect()
}

fn bounds_of(object: &Value, relation: Relation) -> Vec<Bound> {
    let entries = object.as_object().expect("bounds are an object by name");
    entries
        .iter()
        .map(|(name, value)| Bound {
            name: name.clone(),
            relation,
            value: value.as_f64().expect("a bound is a number"),
        })
        .collect()
}

fn measure() -> Figures {
    let output = Command::new(env!("CARGO_BIN_EXE_whinlatch-bench"))
        .args(["capacity", "--exact", "--json"])
        .output()
        .expect("the measurement starts");
    assert!(output.status.success(), "the measurement fails: {output:?}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    let mut figures = Figures::new();
    for figure in list(&report["figures"]) {
        figures.insert(text(&figure["name"]), number(&figure["value"]));
    }
    for slope in list(&report["slopes"]) {
        for point in list(&slope["points"]) {
            let name = format!("{}@{}", text(&slope["name"]), number(&point["x"]));
            figures.insert(name, number(&point["y"]));
        }
    }
    for repair in list(&report["repairs"]) {
        let case = format!(
            "repair.{}.{}.{}.{}",
            text(&repair["way"]),
            repair["differences"],
            text(&repair["spread"]),
            text(&repair["holder"])
        );
        for field in ["bytes", "legs", "missed"] {
            figures.insert(format!("{case}.{field}"), number(&repair[field]));
        }
    }
    figures
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> String {
    value.as_str().expect("a name is text").to_owned()
}

fn number(value: &Value) -> f64 {
    value.as_f64().expect("a figure is a number")
}
