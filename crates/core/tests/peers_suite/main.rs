//! Several cores in one process under simulated time: records, membership and links under failure.

mod daemons;
mod fleet;
mod members_view;
mod peers_links;
mod platform;
mod records_exchange;
mod records_in_force;
mod records_late_start;
mod records_platform;
mod values;
