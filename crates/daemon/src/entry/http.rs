//! HTTP/1.1 for the callers and targets of published routes: heads up to a configured size, and paths and
//! bodies passed on byte for byte, which the HTTP library of the other interface doesn't guarantee.

mod body_decoder;
mod head_reader;
mod input;
mod request_head;
mod response_head;

pub use {
    body_decoder::{BodyDecoder, BodyFault, Progress},
    head_reader::{HeadFault, find_head_end},
    input::Input,
    request_head::{Framing, RequestHead},
    response_head::ResponseHead,
};
