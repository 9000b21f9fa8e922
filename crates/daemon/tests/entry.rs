//! Tests of an entry instance against stand-ins for the platform's store, targets and callers.

#[path = "entry/answer_ends.rs"]
mod answer_ends;
#[path = "entry/bad_input.rs"]
mod bad_input;
#[path = "entry/calls.rs"]
mod calls;
#[path = "entry/crashing_parts.rs"]
mod crashing_parts;
#[path = "entry/crashing_requests.rs"]
mod crashing_requests;
#[path = "entry/cut_off.rs"]
mod cut_off;
#[path = "entry/endless_answers.rs"]
mod endless_answers;
#[path = "entry/evacuation.rs"]
mod evacuation;
#[path = "entry/failing_engines.rs"]
mod failing_engines;
#[path = "entry/fixture.rs"]
mod fixture;
#[path = "entry/fleet.rs"]
mod fleet;
#[path = "entry/frames.rs"]
mod frames;
#[path = "entry/hedges.rs"]
mod hedges;
#[path = "entry/idle_connections.rs"]
mod idle_connections;
#[path = "entry/leaving.rs"]
mod leaving;
#[path = "entry/limits.rs"]
mod limits;
#[path = "entry/lost_engines.rs"]
mod lost_engines;
#[path = "entry/paused_fleet.rs"]
mod paused_fleet;
#[path = "entry/published.rs"]
mod published;
#[path = "entry/resumed_streams.rs"]
mod resumed_streams;
#[path = "entry/second_answers.rs"]
mod second_answers;
#[path = "entry/silent_engines.rs"]
mod silent_engines;
#[path = "entry/slow_bodies.rs"]
mod slow_bodies;
#[path = "entry/streams.rs"]
mod streams;
