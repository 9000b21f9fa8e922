//! What daemons report, as tables or as JSON.

mod entries;
mod explain;
mod fetch;
mod log_story;
mod logged_request;
mod losses;
mod records;
mod status;
mod table;

pub(crate) use {
    entries::show_entries, explain::explain, log_story::story_of_log, losses::losses_of_log,
    records::show_records, status::show_status,
};
