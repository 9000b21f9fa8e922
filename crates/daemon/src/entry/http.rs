//! HTTP/1.1 for the callers and targets of published routes. Heads may be as large as configured, and paths and
//! bodies are passed on byte for byte; the HTTP library (`async-h1`) that the rest of the daemon uses guarantees
//! neither.

mod body_decoder;
mod head_reader;
mod input;
mod request_head;
mod response_head;

pub use {
    body_decoder::{BodyDecoder, BodyFault, BodyProgress},
    head_reader::{HeadFault, find_head_end},
    input::Input,
    request_head::{Framing, RequestHead},
    response_head::ResponseHead,
};
