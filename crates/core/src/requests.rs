//! Requests in flight, their attempts, and the tickets of those that may not be repeated.

mod request_table;
mod ticket_book;

pub use {
    request_table::{Flight, Request, RequestTable},
    ticket_book::{TicketBook, TicketState},
};
