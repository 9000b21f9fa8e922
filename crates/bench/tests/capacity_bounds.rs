//! Compares the deterministic results of `whinlatch-bench capacity` with the bounds in
//! `bounds/capacity.jsonc`.

use {
    serde_json::Value,
    std::{collections::BTreeMap, path::Path, process::Command, sync::LazyLock},
};

/// Results by name. The name of a point of a slope ends in `@` and its x.
type Figures = BTreeMap<String, f64>;

/// Results of one run, which all tests share.
static MEASURED: LazyLock<Figures> = LazyLock::new(measure);

#[test]
fn exact_figures_keep_their_bounds() {
    let bounds = read_bounds();
    let measured = &*MEASURED;

    let violations: Vec<String> = bounds
        .iter()
        .filter_map(|bound| bound.violation(measured))
        .collect();

    assert!(
        violations.is_empty(),
        "figures violate their bounds (compare with `whinlatch-bench capacity --exact`):\n{}",
        violations.join("\n")
    );
}

#[test]
fn every_exact_figure_has_a_bound() {
    let bounds = read_bounds();
    let measured = &*MEASURED;

    let unbounded: Vec<&String> = measured
        .keys()
        .filter(|name| is_exact(name))
        .filter(|name| !bounds.iter().any(|bound| bound.name == **name))
        .collect();

    assert!(
        unbounded.is_empty(),
        "bounds/capacity.jsonc has no bounds for {unbounded:?}"
    );
}

/// Direction of a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Relation {
    AtMost,
    AtLeast,
}

/// A committed bound of one figure.
#[derive(Debug)]
struct Bound {
    name: String,
    relation: Relation,
    value: f64,
}

impl Bound {
    /// Returns a message if the figure violates the bound or wasn't measured.
    fn violation(&self, measured: &Figures) -> Option<String> {
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

/// Returns whether a figure is the same in each run, which holds for all but those with CPU time.
fn is_exact(name: &str) -> bool {
    let cpu_times = ["cpu", ".time", "repair.index"];
    !cpu_times.iter().any(|part| name.contains(part))
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
    .flat_map(|(field, relation)| parse_bounds(&bounds[field], relation))
    .collect()
}

fn parse_bounds(object: &Value, relation: Relation) -> Vec<Bound> {
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

/// Runs the measurement and flattens its report.
fn measure() -> Figures {
    let output = Command::new(env!("CARGO_BIN_EXE_whinlatch-bench"))
        .args(["capacity", "--exact", "--json"])
        .output()
        .expect("whinlatch-bench starts");
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
