use {
    super::{fetch::parse_report, table::Table},
    crate::{entries::EntryList, errors::CliError, http::get},
    std::net::SocketAddr,
    whinlatch_wire::{caller::DECISIONS_PREFIX, ids::RequestId, report::DecisionReport},
};

const NOT_FOUND: u16 = 404;

/// Shows the decisions made about a request. Only the daemon that admitted it keeps them, so the entries are
/// queried one after another until one knows the request.
pub(crate) async fn explain(
    entries: &EntryList,
    request: RequestId,
    json: bool,
) -> Result<String, CliError> {
    let path = format!("{DECISIONS_PREFIX}{request}");
    let mut to_query: Vec<SocketAddr> = entries.configured().to_vec();
    for entry in entries.candidates().await {
        if !to_query.contains(&entry) {
            to_query.push(entry);
        }
    }
    let mut any_answered = false;
    for entry in &to_query {
        match get(*entry, &path).await {
            Ok((NOT_FOUND, _)) => any_answered = true,
            Ok((status, text)) => return render(*entry, status, &text, json),
            Err(_no_answer) => {}
        }
    }
    if any_answered {
        return Err(CliError::NotKnown { request });
    }
    Err(CliError::NoEntry { tried: to_query })
}

fn render(entry: SocketAddr, status: u16, text: &str, json: bool) -> Result<String, CliError> {
    let (report, raw) = parse_report::<DecisionReport>(entry, status, text)?;
    if json {
        return Ok(format!("{raw:#}"));
    }
    let mut table = Table::new(&["AFTER", "PART", "DECISION"]);
    for step in &report.steps {
        table.push_row(&[&format!("{} ms", step.after_ms), &step.part, &step.text]);
    }
    let outcome = report
        .outcome
        .map_or("still in flight".to_owned(), |outcome| {
            format!("{}: {}", outcome.outcome, outcome.message)
        });
    Ok(format!("{}{outcome}\n", table.to_text()))
}
