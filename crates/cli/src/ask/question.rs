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

/// Variable of the environment that holds the key where no option does.
const KEY_VARIABLE: &str = "WHINLATCH_KEY";
/// Stands for the request's number in prompt, body and idempotency key.
const NUMBER_MARK: &str = "{n}";
/// Signs of a service name that mean nothing of their own in a path.
const PLAIN_SIGNS: &[u8] = b"-._~@:+";

/// One request, ready to be sent as often as needed.
#[derive(Debug, Clone)]
pub(super) struct Question {
    pub number: u32,
    pub deadline: Duration,
    pub idempotency_key: String,
    /// The ticket that the user has from an earlier ask.
    pub ticket: Option<Ticket>,
    account: String,
    caller: Option<String>,
    key: Option<String>,
    asked: Asked,
}

#[derive(Debug, Clone)]
enum Asked {
    Prompt(CompletionRequest),
    Call { path: String, body: String },
}

impl Question {
    /// Checks the options and reads the prompt or body.
    pub fn new(options: &AskOptions) -> Result<Self, CliError> {
        check_counts(options)?;
        let key = options.key.clone().or_else(|| env::var(KEY_VARIABLE).ok());
        let account = options.account.clone().ok_or(CliError::NoAccount)?;
        let random_key = || format!("{:032x}-{NUMBER_MARK}", fastrand::u128(..));
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
            asked: Asked::new(&options.subject)?,
        })
    }

    /// The same with the number put in where it is marked.
    pub fn numbered(&self, number: u32) -> Self {
        let put = |text: &str| text.replace(NUMBER_MARK, &number.to_string());
        let asked = match &self.asked {
            Asked::Prompt(request) => Asked::Prompt(CompletionRequest {
                prompt: put(&request.prompt),
                ..request.clone()
            }),
            Asked::Call { path, body } => Asked::Call {
                path: path.clone(),
                body: put(body),
            },
        };
        Self {
            number,
            asked,
            idempotency_key: put(&self.idempotency_key),
            ..self.clone()
        }
    }

    /// Tokens of the prompt, as estimated; 0 for a service call.
    pub fn prompt_tokens(&self) -> u64 {
        match &self.asked {
            Asked::Prompt(request) => estimated_tokens(request.prompt.len()),
            Asked::Call { .. } => 0,
        }
    }

    /// Whether the answer comes as server-sent events.
    pub fn is_streamed(&self) -> bool {
        matches!(self.asked, Asked::Prompt(_))
    }

    pub fn path(&self) -> &str {
        match &self.asked {
            Asked::Prompt(_) => COMPLETIONS_PATH,
            Asked::Call { path, .. } => path,
        }
    }

    /// The request as it goes to an entry, with the time that is left for it.
    pub fn to_request(&self, url: Url, left: Duration, ticket: Option<Ticket>) -> Request {
        let mut request = Request::post(url);
        match &self.asked {
            Asked::Prompt(body) => {
                request.set_body(serde_json::to_string(body).unwrap_or_default());
                request.set_content_type(mime::JSON);
            }
            Asked::Call { body, .. } => request.set_body(body.as_str()),
        }
        let left_ms = left.as_millis().max(1).to_string();
        request.insert_header(ACCOUNT_HEADER, self.account.as_str());
        request.insert_header(DEADLINE_HEADER, left_ms.as_str());
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

impl Asked {
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
                prompt: text_of(prompt.as_deref(), prompt_file.as_deref())?,
                max_tokens: *max_tokens,
                stream: true,
            })),
            Subject::Service {
                service,
                body,
                body_file,
            } => {
                let plain = |byte: u8| byte.is_ascii_alphanumeric() || PLAIN_SIGNS.contains(&byte);
                if service.is_empty() || !service.bytes().all(plain) {
                    return Err(CliError::BadServiceName {
                        name: service.clone(),
                    });
                }
                let path = format!("{SERVICES_PREFIX}{service}");
                Ok(Self::Call {
                    path,
                    body: text_of(body.as_deref(), body_file.as_deref())?,
                })
            }
        }
    }
}

fn check_counts(options: &AskOptions) -> Result<(), CliError> {
    let zero = |option| Err(CliError::Zero { option });
    if options.deadline_ms == 0 {
        return zero("--deadline-ms");
    }
    if options.count == 0 {
        return zero("--count");
    }
    if options.ticket.is_some() && options.count > 1 {
        return Err(CliError::TicketForMany);
    }
    if options.concurrency == 0 {
        return zero("--concurrency");
    }
    Ok(())
}

/// Refuses what would end the header it stands in and begin another.
fn check_header(what: &'static str, text: Option<&String>) -> Result<(), CliError> {
    match text {
        Some(text) if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(CliError::NotAscii { what })
        }
        _ => Ok(()),
    }
}

fn text_of(text: Option<&str>, file: Option<&Path>) -> Result<String, CliError> {
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
