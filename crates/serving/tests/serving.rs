//! The decisions of an entry instance, by the loads and the failures that each test guards against.

#[path = "serving/answer_times.rs"]
mod answer_times;
#[path = "serving/cold_targets.rs"]
mod cold_targets;
#[path = "serving/crashing_parts.rs"]
mod crashing_parts;
#[path = "serving/crashing_requests.rs"]
mod crashing_requests;
#[path = "serving/cut_off.rs"]
mod cut_off;
#[path = "serving/engine_load.rs"]
mod engine_load;
#[path = "serving/evacuation.rs"]
mod evacuation;
#[path = "serving/failing_engines.rs"]
mod failing_engines;
#[path = "serving/fixture.rs"]
mod fixture;
#[path = "serving/fleet_fixture.rs"]
mod fleet_fixture;
#[path = "serving/hedges.rs"]
mod hedges;
#[path = "serving/instances.rs"]
mod instances;
#[path = "serving/large_fleet.rs"]
mod large_fleet;
#[path = "serving/notices.rs"]
mod notices;
#[path = "serving/pauses.rs"]
mod pauses;
#[path = "serving/placement.rs"]
mod placement;
#[path = "serving/properties.rs"]
mod properties;
#[path = "serving/quotas.rs"]
mod quotas;
#[path = "serving/reach.rs"]
mod reach;
#[path = "serving/relays.rs"]
mod relays;
#[path = "serving/removals.rs"]
mod removals;
#[path = "serving/retries.rs"]
mod retries;
#[path = "serving/shared_calls.rs"]
mod shared_calls;
#[path = "serving/shutdown.rs"]
mod shutdown;
#[path = "serving/targets.rs"]
mod targets;
