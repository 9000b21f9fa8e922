use {
    super::{fetch::fetch, table::Table},
    crate::{entries::EntryList, errors::CliError},
    whinlatch_wire::caller::{ENTRIES_PATH, Entries},
};

/// The entries to use, best first, and for how long.
pub(crate) async fn show_entries(entries: &EntryList, json: bool) -> Result<String, CliError> {
    let (report, written) = fetch::<Entries>(entries, ENTRIES_PATH).await?;
    if json {
        return Ok(format!("{written:#}"));
    }
    let mut table = Table::new(&["ADDRESS", "FAILURE DOMAIN"]);
    for entry in &report.entries {
        table.row(&[&entry.address, &entry.failure_domain]);
    }
    Ok(format!(
        "{}use them for {} ms\n",
        table.to_text(),
        report.ttl_ms
    ))
}
