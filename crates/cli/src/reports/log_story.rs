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

/// Name that stands for standard input.
const STDIN: &str = "-";
/// Time before a request for which news of its targets is told, in ms: over that in which a target
/// that leaves or crashes makes itself felt.
const BEFORE_MS: u64 = 5_000;

/// A line of an instance's log, as far as a story needs it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LogLine {
    at_ms: u64,
    event: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    target: Option<String>,
    #[serde(flatten)]
    more: Map<String, Value>,
}

/// What a log tells of one request, with what happened to its targets meanwhile.
#[derive(Debug, Serialize)]
struct Story {
    request: String,
    steps: Vec<LogLine>,
    /// Attempts of other requests at the same targets that came to nothing meanwhile.
    other_failures: usize,
}

/// Tells a request's story from log lines of any number of instances, in any order; lines that are
/// none are passed over, as logs of other programs may be mixed in.
pub(crate) fn story_of_log(
    files: &[PathBuf],
    request: &str,
    json: bool,
) -> Result<String, CliError> {
    let lines = read_lines(files)?;
    let story = story(lines, request).ok_or_else(|| CliError::NotLogged {
        request: request.to_owned(),
    })?;
    if json {
        return Ok(format!("{:#}", serde_json::json!(story)));
    }
    Ok(story.to_text())
}

/// The lines of log files that can be read as one of an instance's; others may be mixed in.
pub(super) fn read_lines<T: DeserializeOwned>(files: &[PathBuf]) -> Result<Vec<T>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read(file)?;
        lines.extend(text.lines().filter_map(line));
    }
    Ok(lines)
}

fn read(file: &Path) -> Result<String, CliError> {
    if file.as_os_str() == STDIN {
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

/// The line from its first brace on: what collects logs may put a time or a name before it.
fn line<T: DeserializeOwned>(text: &str) -> Option<T> {
    let begin = text.find('{')?;
    serde_json::from_str(&text[begin..]).ok()
}

fn story(mut lines: Vec<LogLine>, request: &str) -> Option<Story> {
    lines.sort_by_key(|line| line.at_ms);
    let is_own = |line: &LogLine| line.request.as_deref() == Some(request);
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let began_ms = own.first()?.at_ms.saturating_sub(BEFORE_MS);
    let ended_ms = own.last()?.at_ms;
    let targets: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.target.as_deref())
        .collect();
    let near = |line: &&LogLine| {
        (began_ms..=ended_ms).contains(&line.at_ms)
            && line
                .target
                .as_deref()
                .is_some_and(|id| targets.contains(id))
    };
    let other_failures = lines
        .iter()
        .filter(near)
        .filter(|line| line.event == "attempt_failed" && !is_own(line))
        .count();
    let is_step = |line: &&LogLine| is_own(line) || (line.event == "target" && near(line));
    Some(Story {
        request: request.to_owned(),
        steps: lines.iter().filter(is_step).cloned().collect(),
        other_failures,
    })
}

impl Story {
    fn to_text(&self) -> String {
        let began_ms = self
            .steps
            .iter()
            .find(|step| step.request.is_some())
            .map_or(0, |step| step.at_ms);
        let mut table = Table::new(&["AFTER", "EVENT", "WHAT WAS KNOWN"]);
        for step in &self.steps {
            let after_ms = step.at_ms.cast_signed() - began_ms.cast_signed();
            table.row(&[&format!("{after_ms} ms"), &step.event, &step.details()]);
        }
        let others = match self.other_failures {
            0 => "No other request failed at its targets meanwhile.".to_owned(),
            count => format!("Attempts of other requests that failed there meanwhile: {count}."),
        };
        format!("{}{others}\n", table.to_text())
    }
}

impl LogLine {
    fn details(&self) -> String {
        let target = self.target.iter().map(|target| format!("target={target}"));
        let more = self
            .more
            .iter()
            .filter(|(_, value)| !matches!(value, Value::Null) && *value != "")
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text:?}"),
                other => format!("{name}={other}"),
            });
        let details: Vec<String> = target.chain(more).collect();
        details.join(" ")
    }
}
