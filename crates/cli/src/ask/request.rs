use {
    crate::{
        cli::{AskOptions, Subject},
        errors::CliError,
    },
    http_types::{Request, Url, headers::AUTHORIZATION, mime},
    std::{env, fs, io::Read, path::Path, time::Duration},
    whinlatch_wire::{
        caller::{
            ACCOUNT_HEADER, CALLER_HEADER, COMPLETIONS_PATH, CompletionRequest, DEADLINE_HEADER,
            IDEMPOTENCY_KEY_HEADER, SERVICES_PREFIX, TICKET_HEADER, estimated_tokens,
        },
        ids::Ticket,
    },
};

/// Environment variable that holds the key if no option does.
const KEY_VARIABLE: &str = "WHINLATCH_KEY";
/// Placeholder for the request's number in prompt, body and idempotency key.
const NUMBER_PLACEHOLDER: &str = "{n}";
/// Punctuation that a service name may contain, since it has no special meaning in a URL path.
const PATH_SAFE_PUNCTUATION: &[u8] = b"-._~@:+";

/// A request of the command line that can be sent any number of times.
#[derive(Debug, Clone)]
pub(super) struct AskRequest {
    /// Number within a batch, from 1.
    pub number: u32,
    pub deadline: Duration,
    pub idempotency_key: String,
    /// Ticket that the user has from an earlier run of the tool.
    pub ticket: Option<Ticket>,
    account: String,
    caller: Option<String>,
    key: Option<String>,
    payload: Payload,
}

#[derive(Debug, Clone)]
enum Payload {
    Prompt(CompletionRequest),
    Call { path: String, body: String },
}

impl AskRequest {
    /// Checks the options and reads the prompt or body.
    pub fn new(options: &AskOptions) -> Result<Self, CliError> {
        check_counts(options)?;
        let key = options.key.clone().or_else(|| env::var(KEY_VARIABLE).ok());
        let account = options.account.clone().ok_or(CliError::NoAccount)?;
        let random_key = || format!("{:032x}-{NUMBER_PLACEHOLDER}", fastrand::u128(..));
        let idempotency_key = options.idempotency_key.clone().unwrap_or_else(random_key);
        check_header("the account", Some(&account))?;
        check_header("the caller", options.caller.as_ref())?;
        check_header("the key", key.as_ref())?;
        check_header("the idempotency key", Some(&idempotency_key))?;
        Ok(Self {
            number: 1,
            deadline: Duration::from_millis(options.deadline_ms),
            idempotency_key,
            ticket: options.ticket,
            account,
            caller: options.caller.clone(),
            key,
            payload: Payload::new(&options.subject)?,
        })
    }

    /// Returns a copy with this number in place of each placeholder.
    pub fn with_number(&self, number: u32) -> Self {
        let substitute = |text: &str| text.replace(NUMBER_PLACEHOLDER, &number.to_string());
        let payload = match &self.payload {
            Payload::Prompt(request) => Payload::Prompt(CompletionRequest {
                prompt: substitute(&request.prompt),
                ..request.clone()
            }),
            Payload::Call { path, body } => Payload::Call {
                path: path.clone(),
                body: substitute(body),
            },
        };
        Self {
            number,
            payload,
            idempotency_key: substitute(&self.idempotency_key),
            ..self.clone()
        }
    }

    /// Returns the estimated number of prompt tokens; 0 for a service call.
    pub fn prompt_tokens(&self) -> u64 {
        match &self.payload {
            Payload::Prompt(request) => estimated_tokens(request.prompt.len()),
            Payload::Call { .. } => 0,
        }
    }

    /// Returns true if the answer is a stream of server-sent events.
    pub fn is_streamed(&self) -> bool {
        matches!(self.payload, Payload::Prompt(_))
    }

    pub fn path(&self) -> &str {
        match &self.payload {
            Payload::Prompt(_) => COMPLETIONS_PATH,
            Payload::Call { path, .. } => path,
        }
    }

    /// Builds the HTTP request for an entry, with the remaining time as its deadline.
    pub fn to_http_request(
        &self,
        url: Url,
        remaining: Duration,
        ticket: Option<Ticket>,
    ) -> Request {
        let mut request = Request::post(url);
        match &self.payload {
            Payload::Prompt(body) => {
                request.set_body(serde_json::to_string(body).unwrap_or_default());
                request.set_content_type(mime::JSON);
            }
            Payload::Call { body, .. } => request.set_body(body.as_str()),
        }
        let remaining_ms = remaining.as_millis().max(1).to_string();
        request.insert_header(ACCOUNT_HEADER, self.account.as_str());
        request.insert_header(DEADLINE_HEADER, remaining_ms.as_str());
        request.insert_header(IDEMPOTENCY_KEY_HEADER, self.idempotency_key.as_str());
        if let Some(caller) = &self.caller {
            request.insert_header(CALLER_HEADER, caller.as_str());
        }
        if let Some(key) = &self.key {
            request.insert_header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(ticket) = ticket {
            request.insert_header(TICKET_HEADER, ticket.to_string());
        }
        request
    }
}

impl Payload {
    fn new(subject: &Subject) -> Result<Self, CliError> {
        match subject {
            Subject::Prompt {
                model,
                adapter,
                prompt,
                prompt_file,
                max_tokens,
            } => Ok(Self::Prompt(CompletionRequest {
                model: model.as_str().into(),
                adapter: adapter.as_deref().map(Into::into),
                prompt: read_text(prompt.as_deref(), prompt_file.as_deref())?,
                max_tokens: *max_tokens,
                stream: true,
            })),
            Subject::Service {
                service,
                body,
                body_file,
            } => {
                let is_path_safe = |byte: u8| {
                    byte.is_ascii_alphanumeric() || PATH_SAFE_PUNCTUATION.contains(&byte)
                };
                if service.is_empty() || !service.bytes().all(is_path_safe) {
                    return Err(CliError::BadServiceName {
                        name: service.clone(),
                    });
                }
                let path = format!("{SERVICES_PREFIX}{service}");
                Ok(Self::Call {
                    path,
                    body: read_text(body.as_deref(), body_file.as_deref())?,
                })
            }
        }
    }
}

fn check_counts(options: &AskOptions) -> Result<(), CliError> {
    let reject_zero = |option| Err(CliError::Zero { option });
    if options.deadline_ms == 0 {
        return reject_zero("--deadline-ms");
    }
    if options.count == 0 {
        return reject_zero("--count");
    }
    if options.ticket.is_some() && options.count > 1 {
        return Err(CliError::TicketForMany);
    }
    if options.concurrency == 0 {
        return reject_zero("--concurrency");
    }
    Ok(())
}

/// Rejects text that isn't visible ASCII: a line break could inject another header.
fn check_header(what: &'static str, text: Option<&String>) -> Result<(), CliError> {
    match text {
        Some(text) if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(CliError::NotAscii { what })
        }
        _ => Ok(()),
    }
}

fn read_text(text: Option<&str>, file: Option<&Path>) -> Result<String, CliError> {
    if let Some(text) = text {
        return Ok(text.to_owned());
    }
    if let Some(path) = file {
        return fs::read_to_string(path).map_err(|source| CliError::File {
            path: path.to_owned(),
            source,
        });
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(CliError::Stdin)?;
    Ok(text)
}
