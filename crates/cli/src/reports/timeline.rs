use {
    super::table::Table,
    crate::errors::CliError,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::{
        collections::BTreeSet,
        fs,
        io::{self, Read},
        path::{Path, PathBuf},
    },
};

/// File name that stands for standard input.
const STDIN_MARKER: &str = "-";
/// Time before a request from which state changes of its targets are included, in ms: longer than a target's
/// departure or crash takes to affect requests.
const LEAD_TIME_MS: u64 = 5_000;

/// Log line of an instance. Fields that the timeline doesn't interpret are kept as they are.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LogLine {
    at_ms: u64,
    event: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    target: Option<String>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Log lines of one request and the state changes of its targets, in order of time.
#[derive(Debug, Serialize)]
struct Timeline {
    request: String,
    steps: Vec<LogLine>,
    /// Failed attempts of other requests at the same targets during that time.
    other_failures: usize,
}

/// Builds the timeline of a request from log files of any number of instances, in any order. Lines of other
/// programs that are mixed in are skipped.
pub(crate) fn timeline_from_logs(
    files: &[PathBuf],
    request: &str,
    json: bool,
) -> Result<String, CliError> {
    let lines = read_lines(files)?;
    let timeline = Timeline::new(lines, request).ok_or_else(|| CliError::NotLogged {
        request: request.to_owned(),
    })?;
    if json {
        return Ok(format!("{:#}", serde_json::json!(timeline)));
    }
    Ok(timeline.to_text())
}

/// Reads the lines of log files that parse as log lines of an instance, and skips all others.
pub(super) fn read_lines<T: DeserializeOwned>(files: &[PathBuf]) -> Result<Vec<T>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        lines.extend(text.lines().filter_map(parse_line));
    }
    Ok(lines)
}

fn read_file(file: &Path) -> Result<String, CliError> {
    if file.as_os_str() == STDIN_MARKER {
        let mut text = String::new();
        io::stdin()
            .read_to_string(&mut text)
            .map_err(CliError::Stdin)?;
        return Ok(text);
    }
    fs::read_to_string(file).map_err(|source| CliError::File {
        path: file.to_owned(),
        source,
    })
}

/// Parses a line from its first brace on, since log collectors may put a time or a name before it.
fn parse_line<T: DeserializeOwned>(text: &str) -> Option<T> {
    let begin = text.find('{')?;
    serde_json::from_str(&text[begin..]).ok()
}

impl Timeline {
    /// Returns `None` if no line mentions the request.
    fn new(mut lines: Vec<LogLine>, request: &str) -> Option<Self> {
        lines.sort_by_key(|line| line.at_ms);
        let is_own = |line: &LogLine| line.request.as_deref() == Some(request);
        let own_lines: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
        let start_ms = own_lines.first()?.at_ms.saturating_sub(LEAD_TIME_MS);
        let end_ms = own_lines.last()?.at_ms;
        let targets: BTreeSet<&str> = own_lines
            .iter()
            .filter_map(|line| line.target.as_deref())
            .collect();
        let is_related = |line: &&LogLine| {
            (start_ms..=end_ms).contains(&line.at_ms)
                && line
                    .target
                    .as_deref()
                    .is_some_and(|id| targets.contains(id))
        };
        let other_failures = lines
            .iter()
            .filter(is_related)
            .filter(|line| line.event == "attempt_failed" && !is_own(line))
            .count();
        let is_step =
            |line: &&LogLine| is_own(line) || (line.event == "target" && is_related(line));
        Some(Self {
            request: request.to_owned(),
            steps: lines.iter().filter(is_step).cloned().collect(),
            other_failures,
        })
    }

    fn to_text(&self) -> String {
        let start_ms = self
            .steps
            .iter()
            .find(|step| step.request.is_some())
            .map_or(0, |step| step.at_ms);
        let mut table = Table::new(&["AFTER", "EVENT", "WHAT WAS KNOWN"]);
        for step in &self.steps {
            let after_ms = step.at_ms.cast_signed() - start_ms.cast_signed();
            table.push_row(&[&format!("{after_ms} ms"), &step.event, &step.details()]);
        }
        let others = match self.other_failures {
            0 => {
                "No attempts of other requests failed at these targets during that time.".to_owned()
            }
            count => format!(
                "Failed attempts of other requests at these targets during that time: {count}."
            ),
        };
        format!("{}{others}\n", table.to_text())
    }
}

impl LogLine {
    fn details(&self) -> String {
        let target = self.target.iter().map(|target| format!("target={target}"));
        let fields = self
            .fields
            .iter()
            .filter(|(_, value)| !matches!(value, Value::Null) && *value != "")
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text:?}"),
                other => format!("{name}={other}"),
            });
        let details: Vec<String> = target.chain(fields).collect();
        details.join(" ")
    }
}
