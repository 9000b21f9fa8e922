//! Reads a tree of JSON values field by field and collects every fault on the way.

mod json;
mod jsonc;
mod node;
mod object;
mod place;
mod units;
mod values;

pub(crate) use {
    json::parse_json,
    jsonc::parse_jsonc,
    node::NodeValue,
    object::ObjectReader,
    place::{Faults, Place, Placed},
    values::{
        choice, flag, list, name, number, plain_name, positive, reachable_address, secret, text,
        whole, whole_u32,
    },
};
