//! Reports of daemons and of their logs, printed as tables or as JSON.

mod entries;
mod explain;
mod fetch;
mod logged_request;
mod losses;
mod records;
mod status;
mod table;
mod timeline;

pub(crate) use {
    entries::show_entries, explain::explain, losses::losses_from_logs, records::show_records,
    status::show_status, timeline::timeline_from_logs,
};
