use {
    super::{
        answer::Answer, client::AskClient, output::print_json, progress::Progress,
        request::AskRequest,
    },
    crate::{
        cli::AskOptions,
        errors::{CliError, Exit},
    },
    futures::{StreamExt, TryStreamExt, stream},
    std::io::{self, Write},
    whinlatch_wire::caller::OutcomeKind,
};

/// Sends the request `count` times, up to `concurrency` at the same time. Prints each answer as it
/// completes and the totals last: on standard error if the answers are JSON, else on standard output.
pub(super) async fn send_batch(
    client: &AskClient,
    request: &AskRequest,
    options: &AskOptions,
) -> Result<Exit, CliError> {
    let progress = &Progress::hidden(request);
    let send_one = |number| async move {
        let request = request.with_number(number);
        client.send(&request, false, progress).await
    };
    let mut answers = stream::iter(1..=options.count)
        .map(send_one)
        .buffer_unordered(options.concurrency as usize);
    let mut tally = Tally::default();
    while let Some(answer) = answers.try_next().await? {
        tally.add(&answer);
        if options.json {
            print_json(&answer)?;
        } else {
            print_line(&answer)?;
        }
    }
    if options.json {
        writeln!(io::stderr().lock(), "{}", tally.to_text())?;
    } else {
        writeln!(io::stdout().lock(), "{}", tally.to_text())?;
    }
    Ok(tally.exit())
}

fn print_line(answer: &Answer) -> io::Result<()> {
    let end = &answer.end;
    let (number, total_ms) = (answer.number, answer.total_ms);
    let first_text = answer
        .first_text_ms
        .map_or("-".to_owned(), |ms| ms.to_string());
    let outcome = end.outcome.as_str();
    writeln!(
        io::stdout().lock(),
        "{number:>6}  {outcome:<9}  {:<20}  first text {first_text:>6} ms  ended {total_ms:>6} ms",
        end.reason
    )
}

#[derive(Debug, Default)]
struct Tally {
    completed: u32,
    not_run: u32,
    unknown: u32,
    no_entry: u32,
    first_text_ms: Vec<u64>,
    total_ms: Vec<u64>,
}

impl Tally {
    fn add(&mut self, answer: &Answer) {
        match answer.end.outcome {
            OutcomeKind::Completed => self.completed += 1,
            OutcomeKind::NotRun => self.not_run += 1,
            OutcomeKind::Unknown => self.unknown += 1,
        }
        if answer.exit() == Exit::NoEntry {
            self.no_entry += 1;
        }
        self.first_text_ms.extend(answer.first_text_ms);
        self.total_ms.push(answer.total_ms);
    }

    fn to_text(&self) -> String {
        let total = self.completed + self.not_run + self.unknown;
        format!(
            "asked={total} completed={} not_run={} unknown={}{}{}",
            self.completed,
            self.not_run,
            self.unknown,
            percentiles("first_text", &self.first_text_ms),
            percentiles("ended", &self.total_ms),
        )
    }

    /// Returns the exit code of the worst outcome: `unknown`, whose requests may have run, comes first.
    fn exit(&self) -> Exit {
        if self.unknown > 0 {
            return Exit::Unknown;
        }
        if self.no_entry > 0 {
            return Exit::NoEntry;
        }
        if self.not_run > 0 {
            return Exit::NotRun;
        }
        Exit::Completed
    }
}

fn percentiles(name: &str, values: &[u64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = |per_cent: usize| sorted.get((sorted.len() * per_cent / 100).min(sorted.len() - 1));
    if sorted.is_empty() {
        return String::new();
    }
    let value = |per_cent| at(per_cent).copied().unwrap_or_default();
    format!(" {name}_p50_ms={} {name}_p99_ms={}", value(50), value(99))
}
