//! What the instances of a fleet exchange, measured on real decisions and encoded frames without a network.

#[path = "../../serving/tests/serving/fixture.rs"]
#[expect(
    dead_code,
    reason = "shared with the tests of the decisions, which use all of it"
)]
mod fixture;
#[path = "../../serving/tests/serving/fleet_fixture.rs"]
#[expect(
    dead_code,
    reason = "shared with the tests of the decisions, which use all of it"
)]
mod fleet_fixture;
#[path = "virtual_fleet/traffic.rs"]
mod traffic;
