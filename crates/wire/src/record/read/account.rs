use crate::{
    conf::{
        FaultKind,
        reader::{Faults, Location, ObjectReader, list, positive_number, string, url_safe_name},
    },
    record::AccountRecord,
};

/// Number of hexadecimal digits in a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

pub(super) fn read_account(location: &Location<'_>, faults: &mut Faults) -> Option<AccountRecord> {
    let mut object = ObjectReader::open(location, faults)?;
    let account = object.required("account", "\"members\"", faults, url_safe_name);
    let key_sha256 = object.required("key_sha256", "[\"…\"]", faults, list(read_digest));
    let callers = object.with_default("callers", Vec::new(), faults, list(url_safe_name));
    let requests_per_s = object.required("requests_per_s", "50", faults, positive_number);
    let tokens_per_s = object.required("tokens_per_s", "200000", faults, positive_number);
    let weight = object.with_default("weight", 1.0, faults, positive_number);
    object.finish(faults);
    Some(AccountRecord {
        account: account?,
        key_sha256: key_sha256?,
        callers: callers?,
        requests_per_s: requests_per_s?,
        tokens_per_s: tokens_per_s?,
        weight: weight?,
    })
}

/// Reads a digest. The fault doesn't quote the string, which may be the key itself.
fn read_digest(location: &Location<'_>, faults: &mut Faults) -> Option<String> {
    let digest = string(location, faults)?;
    if digest.len() == DIGEST_DIGITS && digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Some(digest.to_ascii_lowercase());
    }
    let found = format!("a string of {} bytes", digest.len());
    let expected = "the SHA-256 digest of the key as 64 hexadecimal digits".to_owned();
    faults.add(location, FaultKind::OutOfRange { found, expected });
    None
}
