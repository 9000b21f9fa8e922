use super::{AttemptEnd, AttemptFault, CompleteAnswer, is_decided_by_later};
use crate::entry::http::ResponseHead;

fn complete(status: u16) -> CompleteAnswer {
    let head = format!("HTTP/1.1 {status} Text\r\nContent-Length: 0\r\n\r\n");
    CompleteAnswer {
        head: ResponseHead::parse(head.as_bytes(), "GET").unwrap(),
        body: Vec::new(),
    }
}

/// Guards against passing on another answer than that of the attempt that failed first, when both failed.
#[test]
fn the_first_failure_counts_unless_the_other_attempt_succeeds() {
    let failed: AttemptEnd = Ok(complete(500));
    let failed_too: AttemptEnd = Ok(complete(502));
    let not_confirmed: AttemptEnd = Ok(complete(429));
    let succeeded: AttemptEnd = Ok(complete(200));
    let no_answer: AttemptEnd = Err(AttemptFault::Mismatched);

    assert!(!is_decided_by_later(&failed, &failed_too));
    assert!(!is_decided_by_later(&failed, &not_confirmed));
    assert!(!is_decided_by_later(&failed, &no_answer));
    assert!(is_decided_by_later(&failed, &succeeded));
    assert!(is_decided_by_later(&no_answer, &failed));
    assert!(is_decided_by_later(&no_answer, &no_answer));
}
