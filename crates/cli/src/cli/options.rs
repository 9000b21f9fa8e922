use {
    bpaf::{Bpaf, Parser, ShellComp, long},
    std::{net::SocketAddr, path::PathBuf},
    whinlatch_wire::ids::Ticket,
};

const EXIT_CODES: &str = "Exit codes: 0 completed, or the files are good; 1 a daemon's answer \
can't be used; 2 wrong options or a faulty file; 3 not_run: no target ran the request and none \
will; 4 unknown: it may have run; 5 no entry could be reached.";

/// Asks whinlatch, reads what it reports and checks its files
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, fallback_to_usage, footer(EXIT_CODES))]
pub(crate) enum Command {
    /// Sends a prompt to a model, or calls a plain service
    #[bpaf(command)]
    Ask(#[bpaf(external(boxed_ask_options))] Box<AskOptions>),
    /// Tells which entries to use and for how long
    #[bpaf(command)]
    Entries(#[bpaf(external(report_options))] ReportOptions),
    /// Shows a daemon with its peers and targets
    #[bpaf(command)]
    Status(#[bpaf(external(report_options))] ReportOptions),
    /// Shows the records: the revision in force, where, or why one was rejected
    #[bpaf(command)]
    Records(#[bpaf(external(report_options))] ReportOptions),
    /// Explains what was decided about a request
    #[bpaf(command)]
    Explain {
        #[bpaf(external(report_options))]
        options: ReportOptions,
        /// Log file of an instance to read in place of asking entries, `-` for standard input; may
        /// be repeated
        #[bpaf(
            long("log"),
            argument("FILE"),
            complete_shell(ShellComp::File { mask: None }),
            many
        )]
        logs: Vec<PathBuf>,
        /// Id of the request, as in its answer and in the logs
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Tells which requests weren't served in time, by route, second and reason
    #[bpaf(command)]
    Losses {
        #[bpaf(external)]
        json: bool,
        /// Log files of instances, `-` for standard input
        #[bpaf(
            positional("FILE"),
            complete_shell(ShellComp::File { mask: None }),
            some("name at least one log file")
        )]
        logs: Vec<PathBuf>,
    },
    /// Checks settings and record files and tells all their faults
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        json: bool,
        /// Files to check
        #[bpaf(
            positional("FILE"),
            complete_shell(ShellComp::File { mask: Some("*.jsonc") }),
            some("name at least one file")
        )]
        files: Vec<PathBuf>,
    },
}

/// Where to ask and how to print.
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
    /// Client account that asks
    #[bpaf(env("WHINLATCH_ACCOUNT"), argument("NAME"), optional)]
    pub account: Option<String>,
    /// Caller within the account
    #[bpaf(env("WHINLATCH_CALLER"), argument("NAME"), optional)]
    pub caller: Option<String>,
    /// Key of the account
    #[bpaf(external)]
    pub key: Option<String>,
    /// Time for the whole answer, in milliseconds
    #[bpaf(argument("MS"), fallback(60_000), display_fallback)]
    pub deadline_ms: u64,
    /// Names a service call; the entry that gave its ticket gives it again; random if absent
    #[bpaf(argument("KEY"), optional)]
    pub idempotency_key: Option<String>,
    /// Ticket of an earlier, unfinished ask, so that the call runs at most once
    #[bpaf(argument("TICKET"), optional)]
    pub ticket: Option<Ticket>,
    /// Requests to send; `{n}` in prompt, body and idempotency key becomes the request's number
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub count: u32,
    /// Requests in flight at once
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub concurrency: u32,
    /// Show the progress line also where standard error is not a terminal
    pub progress: bool,
    #[bpaf(external)]
    pub subject: Subject,
}

/// What is asked
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Subject {
    Prompt {
        /// Model to ask
        #[bpaf(argument("NAME"))]
        model: String,
        /// Adapter of the model
        #[bpaf(argument("NAME"), optional)]
        adapter: Option<String>,
        /// The prompt; standard input is read if neither it nor a file is given
        #[bpaf(argument("TEXT"), optional)]
        prompt: Option<String>,
        /// File that holds the prompt
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: None }), optional)]
        prompt_file: Option<PathBuf>,
        /// Most tokens of the answer
        #[bpaf(argument("N"), fallback(256), display_fallback)]
        max_tokens: u32,
    },
    Service {
        /// Plain service to call
        #[bpaf(argument("NAME"))]
        service: String,
        /// Body of the call; standard input is read if neither it nor a file is given
        #[bpaf(argument("TEXT"), optional)]
        body: Option<String>,
        /// File that holds the body
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: None }), optional)]
        body_file: Option<PathBuf>,
    },
}

fn boxed_ask_options() -> impl Parser<Box<AskOptions>> {
    ask_options().map(Box::new)
}

fn entry() -> impl Parser<Vec<SocketAddr>> {
    long("entry")
        .help("Entry to ask first, IP:PORT; may be repeated. Else those of WHINLATCH_ENTRY")
        .argument("ADDRESS")
        .many()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON and no table").switch()
}

// The library's own reading of a variable would show the key in the help text.
fn key() -> impl Parser<Option<String>> {
    long("key")
        .help("Key of the account; better set WHINLATCH_KEY, since other users can see options")
        .argument("KEY")
        .optional()
        .hide_usage()
}
