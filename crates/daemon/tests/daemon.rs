//! Integration tests of the daemon in this process, against stand-ins of the platform, engines and a
//! plain service.

#[path = "daemon/bad_input.rs"]
mod bad_input;
#[path = "daemon/client.rs"]
mod client;
#[path = "daemon/fixture.rs"]
mod fixture;
#[path = "daemon/leaving.rs"]
mod leaving;
#[path = "daemon/limits.rs"]
mod limits;
#[path = "daemon/operators.rs"]
mod operators;
#[path = "daemon/peers.rs"]
mod peers;
#[path = "daemon/prompts.rs"]
mod prompts;
#[path = "daemon/services.rs"]
mod services;
