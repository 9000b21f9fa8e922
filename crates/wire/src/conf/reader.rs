//! Converts a tree of JSON values field by field into typed values and collects all faults.

mod json;
mod jsonc;
mod location;
mod node;
mod object;
mod units;
mod values;

pub(crate) use {
    json::parse_json,
    jsonc::parse_jsonc,
    location::{Faults, Located, Location},
    node::NodeValue,
    object::ObjectReader,
    values::{
        boolean, choice, integer, integer_u32, list, name, number, positive_number,
        reachable_address, secret, string, url_safe_name,
    },
};
