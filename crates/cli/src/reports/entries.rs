use {
    super::{fetch::fetch, table::Table},
    crate::{entries::EntryList, errors::CliError},
    whinlatch_wire::caller::{ENTRIES_PATH, Entries},
};

/// Shows the entries to use, best first, and how long the list is valid.
pub(crate) async fn show_entries(entries: &EntryList, json: bool) -> Result<String, CliError> {
    let (report, raw) = fetch::<Entries>(entries, ENTRIES_PATH).await?;
    if json {
        return Ok(format!("{raw:#}"));
    }
    let mut table = Table::new(&["ADDRESS", "FAILURE DOMAIN"]);
    for entry in &report.entries {
        table.push_row(&[&entry.address, &entry.failure_domain]);
    }
    Ok(format!(
        "{}valid for {} ms\n",
        table.to_text(),
        report.ttl_ms
    ))
}
