use {
    bpaf::{Bpaf, Parser, ShellComp, long},
    std::{net::SocketAddr, path::PathBuf},
    whinlatch_wire::ids::Ticket,
};

const EXIT_CODES: &str = "Exit codes: 0 completed, or the files are valid; 1 a daemon's answer \
can't be used; 2 invalid options or a file with faults; 3 not_run: no target ran the request and \
none will; 4 unknown: the request may have run; 5 no entry could be reached.";

/// Sends requests to whinlatch, shows reports of its daemons and checks its files
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, fallback_to_usage, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Sends a prompt to a model, or calls a plain service
    #[bpaf(command)]
    Ask(#[bpaf(external(boxed_ask_options))] Box<AskOptions>),
    /// Lists the entries to use and how long the list is valid
    #[bpaf(command)]
    Entries(#[bpaf(external(report_options))] ReportOptions),
    /// Shows the status of a daemon, its peers and its targets
    #[bpaf(command)]
    Status(#[bpaf(external(report_options))] ReportOptions),
    /// Shows the records: the revision in force and on which instances, or why one was rejected
    #[bpaf(command)]
    Records(#[bpaf(external(report_options))] ReportOptions),
    /// Explains the decisions made about a request
    #[bpaf(command)]
    Explain {
        #[bpaf(external(report_options))]
        options: ReportOptions,
        /// Log file of an instance to read instead of querying entries, `-` for standard input;
        /// may be repeated
        #[bpaf(
            long("log"),
            argument("FILE"),
            complete_shell(ShellComp::File { mask: None }),
            many
        )]
        logs: Vec<PathBuf>,
        /// Id of the request, from its answer or from the logs
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Counts requests that weren't served in time, by route, second and reason
    #[bpaf(command)]
    Losses {
        #[bpaf(external)]
        json: bool,
        /// Log files of instances, `-` for standard input
        #[bpaf(
            positional("FILE"),
            complete_shell(ShellComp::File { mask: None }),
            some("pass at least one log file")
        )]
        logs: Vec<PathBuf>,
    },
    /// Checks settings and record files and reports all their faults
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        json: bool,
        /// Files to check
        #[bpaf(
            positional("FILE"),
            complete_shell(ShellComp::File { mask: Some("*.jsonc") }),
            some("pass at least one file")
        )]
        files: Vec<PathBuf>,
    },
}

/// Options of the commands that show a report.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ReportOptions {
    #[bpaf(external)]
    pub entry: Vec<SocketAddr>,
    #[bpaf(external)]
    pub json: bool,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct AskOptions {
    #[bpaf(external)]
    pub entry: Vec<SocketAddr>,
    #[bpaf(external)]
    pub json: bool,
    /// Client account to send requests for
    #[bpaf(env("WHINLATCH_ACCOUNT"), argument("NAME"), optional)]
    pub account: Option<String>,
    /// Caller within the account
    #[bpaf(env("WHINLATCH_CALLER"), argument("NAME"), optional)]
    pub caller: Option<String>,
    /// Key of the account
    #[bpaf(external)]
    pub key: Option<String>,
    /// Deadline for the whole answer, in milliseconds
    #[bpaf(argument("MS"), fallback(60_000), display_fallback)]
    pub deadline_ms: u64,
    /// Identifies a service call: the entry that issued its ticket returns the same one when the
    /// call is resent; random if absent
    #[bpaf(argument("KEY"), optional)]
    pub idempotency_key: Option<String>,
    /// Ticket of an earlier, unfinished call, so that it runs at most once
    #[bpaf(argument("TICKET"), optional)]
    pub ticket: Option<Ticket>,
    /// Number of requests to send; `{n}` in prompt, body and idempotency key is replaced by the
    /// number of the request
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub count: u32,
    /// Maximum number of requests in flight
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub concurrency: u32,
    /// Show the progress line even if standard error is not a terminal
    pub progress: bool,
    #[bpaf(external)]
    pub subject: Subject,
}

/// Model or service to send to
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Subject {
    Prompt {
        /// Model to send the prompt to
        #[bpaf(argument("NAME"))]
        model: String,
        /// Adapter of the model
        #[bpaf(argument("NAME"), optional)]
        adapter: Option<String>,
        /// Text of the prompt; standard input is read if neither text nor file is given
        #[bpaf(argument("TEXT"), optional)]
        prompt: Option<String>,
        /// File that contains the prompt
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: None }), optional)]
        prompt_file: Option<PathBuf>,
        /// Maximum number of tokens in the answer
        #[bpaf(argument("N"), fallback(256), display_fallback)]
        max_tokens: u32,
    },
    Service {
        /// Plain service to call
        #[bpaf(argument("NAME"))]
        service: String,
        /// Body of the call; standard input is read if neither body nor file is given
        #[bpaf(argument("TEXT"), optional)]
        body: Option<String>,
        /// File that contains the body
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: None }), optional)]
        body_file: Option<PathBuf>,
    },
}

fn boxed_ask_options() -> impl Parser<Box<AskOptions>> {
    ask_options().map(Box::new)
}

fn entry() -> impl Parser<Vec<SocketAddr>> {
    long("entry")
        .help("Entry to contact first, as IP:PORT; may be repeated. Default: those in WHINLATCH_ENTRY")
        .argument("ADDRESS")
        .many()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON instead of a table").switch()
}

// bpaf's `env` would show the value of the variable, and so the key, in the help text.
fn key() -> impl Parser<Option<String>> {
    long("key")
        .help("Key of the account; prefer WHINLATCH_KEY, since other users can see command lines")
        .argument("KEY")
        .optional()
        .hide_usage()
}
