use {
    super::{fetch::understand, table::Table},
    crate::{entries::EntryList, errors::CliError, http::get},
    std::net::SocketAddr,
    whinlatch_wire::{caller::DECISIONS_PREFIX, ids::RequestId, report::DecisionReport},
};

const NOT_FOUND: u16 = 404;

/// What was decided about a request. Only the daemon that admitted it knows, so all are asked.
pub(crate) async fn explain(
    entries: &EntryList,
    request: RequestId,
    json: bool,
) -> Result<String, CliError> {
    let path = format!("{DECISIONS_PREFIX}{request}");
    let mut to_ask: Vec<SocketAddr> = entries.given().to_vec();
    for entry in entries.usable().await {
        if !to_ask.contains(&entry) {
            to_ask.push(entry);
        }
    }
    let mut answered = false;
    for entry in &to_ask {
        match get(*entry, &path).await {
            Ok((NOT_FOUND, _)) => answered = true,
            Ok((status, text)) => return written(*entry, status, &text, json),
            Err(_no_answer) => {}
        }
    }
    if answered {
        return Err(CliError::NotKnown { request });
    }
    Err(CliError::NoEntry { tried: to_ask })
}

fn written(entry: SocketAddr, status: u16, text: &str, json: bool) -> Result<String, CliError> {
    let (report, written) = understand::<DecisionReport>(entry, status, text)?;
    if json {
        return Ok(format!("{written:#}"));
    }
    let mut table = Table::new(&["AFTER", "PART", "DECISION"]);
    for step in &report.steps {
        table.row(&[&format!("{} ms", step.after_ms), &step.part, &step.text]);
    }
    let end = report
        .outcome
        .map_or("still in flight".to_owned(), |outcome| {
            format!("{}: {}", outcome.outcome, outcome.message)
        });
    Ok(format!("{}{end}\n", table.to_text()))
}
