use {
    super::{fetch::fetch, table::Table},
    crate::{entries::EntryList, errors::CliError},
    whinlatch_wire::{
        caller::RECORDS_REPORT_PATH,
        ids::InstanceName,
        report::{RecordState, RecordsReport},
    },
};

/// Shows the records with the revision in force and the instances that store it, or why one was rejected.
pub(crate) async fn show_records(entries: &EntryList, json: bool) -> Result<String, CliError> {
    let (report, raw) = fetch::<RecordsReport>(entries, RECORDS_REPORT_PATH).await?;
    if json {
        return Ok(format!("{raw:#}"));
    }
    let mut table = Table::new(&["KEY", "REVISION", "IN FORCE", "HELD BY", "STATE"]);
    for record in &report.records {
        let in_force = record
            .in_force
            .map_or("-".to_owned(), |revision| revision.to_string());
        let instances: Vec<_> = record.instances.iter().map(InstanceName::as_str).collect();
        let instances = instances.join(",");
        table.push_row(&[
            &record.key,
            &record.revision,
            &in_force,
            &instances,
            &state_text(&record.state),
        ]);
    }
    Ok(format!(
        "{}{} holds revision {}\n",
        table.to_text(),
        report.instance,
        report.newest
    ))
}

fn state_text(state: &RecordState) -> String {
    match state {
        RecordState::InForce => "in force".to_owned(),
        RecordState::Deleted => "deleted".to_owned(),
        RecordState::Rejected { reason } => format!("rejected: {reason}"),
    }
}
