//! Published targets: which of them take requests, what they announce in their answers, and how calls of
//! plain services are spread over them.

mod address_owners;
mod call_loads;
mod evacuations;
mod failure_share;
mod fleet_call_load;
mod store_outages;
mod target_change;
mod target_entry;
mod target_limit;
mod target_notice;
mod target_notices;
mod target_registry;

pub use {
    address_owners::{AddressClaim, AddressOwners},
    call_loads::CallLoads,
    evacuations::{EvacuationChange, Evacuations},
    failure_share::FailureShare,
    fleet_call_load::FleetCallLoad,
    store_outages::StoreOutages,
    target_change::{ChangeOutcome, PublishedChanges, TargetChange},
    target_entry::{TargetEntry, TargetState},
    target_limit::TargetLimit,
    target_notice::TargetNotice,
    target_notices::TargetNotices,
    target_registry::{AddressTakeover, TargetRegistry},
};
