//! What daemons report, as tables or as JSON.

mod entries;
mod explain;
mod fetch;
mod records;
mod status;
mod table;

pub(crate) use {
    entries::show_entries, explain::explain, records::show_records, status::show_status,
};
