use {
    super::refusal::Refusal,
    crate::{entropy::random_u128, targets::AttemptWork},
    http_types::Request,
    sha2::{Digest, Sha256},
    std::fmt::Write as _,
    whinlatch_core::{Submission, Work},
    whinlatch_wire::{
        caller::{
            ACCOUNT_HEADER, CALLER_HEADER, CompletionRequest, DEADLINE_HEADER, FORWARDED_HEADER,
            IDEMPOTENCY_KEY_HEADER, Reason, TICKET_HEADER, estimated_tokens,
        },
        ids::{AccountName, CallerName, RequestId, ServiceName},
        target::PREFIX_BLOCK_TOKENS,
    },
    xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed},
};

/// Bytes of a prompt in one block of its prefix chain.
const BLOCK_BYTES: usize = 4 * PREFIX_BLOCK_TOKENS as usize;
/// Largest number of blocks of a prompt that are hashed.
const MAX_BLOCKS: usize = 256;
/// Longest deadline that is accepted, in ms: one day. Records may allow less.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Longest account, caller name or idempotency key in a header, in bytes.
const MAX_NAME_BYTES: usize = 512;
/// Authentication scheme that precedes the key in the header.
const BEARER: &str = "Bearer ";

/// A caller's request, parsed and checked.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Data of the request that the core needs for its decisions.
    pub submission: Submission,
    /// Data that is sent to the target.
    pub work: AttemptWork,
    /// The caller's `authorization` header, passed on if the request is forwarded.
    pub key: SecretHeader,
}

/// A header value that must not appear in logs; `None` if the request doesn't have it.
#[derive(Clone)]
pub struct SecretHeader(pub Option<String>);

impl std::fmt::Debug for SecretHeader {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("SecretHeader(..)")
    }
}

/// Parses a request for a completion.
pub fn parse_completion(request: &Request, body: &[u8]) -> Result<ParsedRequest, Refusal> {
    check_json(request)?;
    let completion: CompletionRequest = serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not a completion request ({error}): correct it");
        Refusal::new(Reason::BadRequest, message)
    })?;
    if !completion.stream {
        let message = "answers are always streamed: leave `stream` out or set it to true";
        return Err(Refusal::new(Reason::BadRequest, message));
    }
    if completion.max_tokens == 0 {
        let message = "`max_tokens` is 0: write at least 1";
        return Err(Refusal::new(Reason::BadRequest, message));
    }
    let prompt_tokens = estimated_tokens(completion.prompt.len());
    let prefix_hashes = prefix_hashes(completion.prompt.as_bytes());
    let work = Work::Prompt {
        model: completion.model.clone(),
        adapter: completion.adapter.clone(),
        prompt_tokens,
        max_tokens: completion.max_tokens,
        prefix_hashes: prefix_hashes.clone(),
    };
    let submission = submission(request, body, work)?;
    let work = AttemptWork::Prompt {
        completion,
        prompt_tokens,
        prefix_hashes,
    };
    Ok(parsed_request(request, submission, work))
}

/// Parses a call of a plain service.
pub fn parse_call(
    request: &Request,
    service: &str,
    body: Vec<u8>,
) -> Result<ParsedRequest, Refusal> {
    if service.is_empty() || service.contains('/') {
        let message = "the path names no service: write /v1/services/NAME";
        return Err(Refusal::with_status(404, Reason::BadRequest, message));
    }
    let service = ServiceName::new(service);
    let work = Work::Call {
        service: service.clone(),
    };
    let submission = submission(request, &body, work)?;
    let body = String::from_utf8(body).map_err(|_not_text| {
        let message = "the body is not UTF-8 text: encode it";
        Refusal::new(Reason::BadRequest, message)
    })?;
    let work = AttemptWork::Call {
        service,
        account: submission.account.clone(),
        body,
    };
    Ok(parsed_request(request, submission, work))
}

fn parsed_request(request: &Request, submission: Submission, work: AttemptWork) -> ParsedRequest {
    ParsedRequest {
        submission,
        work,
        key: SecretHeader(header(request, "authorization").map(str::to_owned)),
    }
}

fn submission(request: &Request, body: &[u8], work: Work) -> Result<Submission, Refusal> {
    let account = name(request, ACCOUNT_HEADER)?.ok_or_else(|| {
        let message = format!("the header {ACCOUNT_HEADER} is missing: name your client account");
        Refusal::new(Reason::BadRequest, message)
    })?;
    let invalid = |header: &str, error: String| {
        Refusal::new(Reason::BadRequest, format!("the header {header}: {error}"))
    };
    let ticket = header(request, TICKET_HEADER)
        .map(str::parse)
        .transpose()
        .map_err(|error: whinlatch_wire::ids::BadId| invalid(TICKET_HEADER, error.to_string()))?;
    let forwarded_by = header(request, FORWARDED_HEADER)
        .map(str::parse)
        .transpose()
        .map_err(|error: whinlatch_wire::ids::BadId| {
            invalid(FORWARDED_HEADER, error.to_string())
        })?;
    Ok(Submission {
        request: RequestId(random_u128()),
        account: AccountName::new(account),
        caller: name(request, CALLER_HEADER)?.map(CallerName::new),
        key_sha256: key_digest(request),
        deadline_ms: deadline(request)?,
        ticket,
        idempotency_key: name(request, IDEMPOTENCY_KEY_HEADER)?.map(str::to_owned),
        forwarded_by,
        fingerprint: fingerprint(account, request.url().path(), body),
        work,
    })
}

fn deadline(request: &Request) -> Result<u64, Refusal> {
    let invalid = |fault: &str| {
        let message = format!(
            "the header {DEADLINE_HEADER} {fault}: write whole milliseconds from 1 to \
             {MAX_DEADLINE_MS}"
        );
        Refusal::new(Reason::BadDeadline, message)
    };
    let text = header(request, DEADLINE_HEADER).ok_or_else(|| invalid("is missing"))?;
    match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(ms),
        Ok(_out_of_bounds) => Err(invalid("is out of bounds")),
        Err(_no_number) => Err(invalid("is not a whole positive number")),
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn name<'a>(request: &'a Request, field: &str) -> Result<Option<&'a str>, Refusal> {
    match header(request, field) {
        Some(text) if text.is_empty() || text.len() > MAX_NAME_BYTES => {
            let message = format!("the header {field} must have 1 to {MAX_NAME_BYTES} bytes");
            Err(Refusal::new(Reason::BadRequest, message))
        }
        found => Ok(found),
    }
}

fn check_json(request: &Request) -> Result<(), Refusal> {
    let media_type = header(request, "content-type").unwrap_or_default();
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    let message = "the body must be JSON: send content-type: application/json";
    Err(Refusal::with_status(415, Reason::BadRequest, message))
}

/// Returns the SHA-256 of the key, in hexadecimal; that of no bytes if there is no key.
fn key_digest(request: &Request) -> String {
    let key = header(request, "authorization")
        .and_then(|value| value.strip_prefix(BEARER))
        .unwrap_or_default();
    let mut hex = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string can't fail.
        let _written = write!(hex, "{byte:02x}");
    }
    hex
}

/// Returns the hashes of the prompt's complete blocks, each seeded with the one before, so that
/// equal hashes mean equal prefixes.
fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .scan(0, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// Returns a hash that identifies a request, so that a repeated one is recognized. The length of
/// each part is hashed too, so that the same bytes split differently give another hash.
fn fingerprint(account: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [account.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.digest()
}
