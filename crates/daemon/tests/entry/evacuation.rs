//! Evacuations that operators publish in the store.

use {
    super::fixture::{get, target, until, world},
    whinlatch_platform_standins::{Behaviour, CallerRequest, SAFE_PREFIX, StoreMode},
};

/// Failure domain of the stand-ins' targets.
const DOMAIN: &str = "east";

fn call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

/// Guards against requests that still reach the targets of an evacuated failure domain, or that wait for their
/// deadline when no other takes them.
#[async_std::test]
async fn targets_of_an_evacuated_domain_get_nothing_until_it_is_taken_back() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;

    world.store.publish_evacuation(DOMAIN);
    until(|| world.entry.ready_targets().is_empty()).await;
    let refused = world.exchange(&call());
    let arrived = plain.arrivals().len();
    world.store.remove_evacuation(DOMAIN);
    until(|| !world.entry.ready_targets().is_empty()).await;

    assert_eq!((refused.status, arrived), (503, 0));
    assert!(refused.header("Retry-After").is_some());
    assert_eq!(world.exchange(&call()).status, 200);
}

/// Guards against an instance that goes on sending since the store dropped its history: the watch that would have
/// returned the evacuation fails, and all has to be read again.
#[async_std::test]
async fn an_evacuation_is_found_when_all_is_read_again() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;

    world.store.set_mode(StoreMode::Closing);
    world.store.publish_evacuation(DOMAIN);
    world.store.compact();
    world.store.set_mode(StoreMode::Serving);

    until(|| world.entry.ready_targets().is_empty()).await;
}

/// Guards against an evacuation that goes on, since it ended while the store didn't answer and dropped its history.
#[async_std::test]
async fn the_end_of_an_evacuation_is_found_when_all_is_read_again() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    world.store.publish_evacuation(DOMAIN);
    until(|| world.entry.ready_targets().is_empty()).await;

    world.store.set_mode(StoreMode::Closing);
    world.store.remove_evacuation(DOMAIN);
    world.store.compact();
    world.store.set_mode(StoreMode::Serving);

    until(|| !world.entry.ready_targets().is_empty()).await;
}

#[async_std::test]
async fn evacuated_domains_are_counted_in_the_metrics() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let world = world(&[], &[&plain]).await;
    let address = world.entry.settings().metrics_address;

    world.store.publish_evacuation(DOMAIN);
    world.store.publish_evacuation("no-such-domain");

    let counted = "whinlatch_entry_evacuated_domains 2";
    until(|| get(address, "/metrics").body.contains(counted)).await;
}
