use thiserror::Error;

/// Reason why a head can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadFault {
    /// It isn't valid HTTP/1.1, or its headers contradict each other.
    #[error("the head of the request can't be read: {0}")]
    Malformed(&'static str),
    /// It exceeds the limit for its size or number of headers.
    #[error("the head of the request is too large: send fewer or shorter headers")]
    TooLarge,
    /// Its transfer coding isn't supported.
    #[error("the transfer coding isn't known: send a length or chunks")]
    Coding,
}

/// Returns the index after the empty line that ends a head; `None` if the head isn't complete.
///
/// # Errors
/// A line ends with LF alone. Lenient parsers take that as the end of a line and strict ones don't, which
/// allows request smuggling.
pub fn find_head_end(bytes: &[u8]) -> Result<Option<usize>, HeadFault> {
    let mut line_start = 0;
    for (index, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        if index == 0 || bytes[index - 1] != b'\r' {
            return Err(HeadFault::Malformed(
                "a line ends without a carriage return",
            ));
        }
        if index - 1 == line_start && line_start > 0 {
            return Ok(Some(index + 1));
        }
        line_start = index + 1;
    }
    Ok(None)
}
