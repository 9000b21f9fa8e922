use {
    super::options::{Command, ReportOptions, command},
    crate::{
        ask,
        check::check_files,
        entries::EntryList,
        errors::{CliError, Exit},
        reports::{
            explain, losses_from_logs, show_entries, show_records, show_status, timeline_from_logs,
        },
    },
    async_std::task::block_on,
    bpaf::{Args, ParseFailure},
    std::{io::Write, net::SocketAddr, process::ExitCode},
};

/// Environment variable with the addresses of entries, separated by commas; used if no option names one.
const ENTRY_VARIABLE: &str = "WHINLATCH_ENTRY";
/// Line width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// Parses the command line, runs the command and returns the exit code.
pub(crate) fn run() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(&failure).into(),
    };
    match block_on(execute(command)) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("whinlatch: {error}");
            error.exit().into()
        }
    }
}

fn report_parse_failure(failure: &ParseFailure) -> Exit {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Completed,
    }
}

async fn execute(command: Command) -> Result<Exit, CliError> {
    match command {
        Command::Ask(options) => {
            let entries = EntryList::new(entry_addresses(&options.entry)?);
            ask::run(&options, entries).await
        }
        Command::Entries(options) => {
            print(&show_entries(&entry_list(&options)?, options.json).await?)
        }
        Command::Status(options) => {
            print(&show_status(&entry_list(&options)?, options.json).await?)
        }
        Command::Records(options) => {
            print(&show_records(&entry_list(&options)?, options.json).await?)
        }
        Command::Explain {
            options,
            logs,
            request,
        } if !logs.is_empty() => print(&timeline_from_logs(&logs, &request, options.json)?),
        Command::Explain {
            options, request, ..
        } => {
            let request = request
                .parse()
                .map_err(|_error| CliError::BadRequestId { text: request })?;
            print(&explain(&entry_list(&options)?, request, options.json).await?)
        }
        Command::Losses { json, logs } => print(&losses_from_logs(&logs, json)?),
        Command::Check { json, files } => {
            let checked = check_files(&files);
            print(&checked.to_text(json))?;
            Ok(checked.exit())
        }
    }
}

fn print(text: &str) -> Result<Exit, CliError> {
    writeln!(std::io::stdout().lock(), "{}", text.trim_end())?;
    Ok(Exit::Completed)
}

fn entry_list(options: &ReportOptions) -> Result<EntryList, CliError> {
    Ok(EntryList::new(entry_addresses(&options.entry)?))
}

fn entry_addresses(from_option: &[SocketAddr]) -> Result<Vec<SocketAddr>, CliError> {
    if !from_option.is_empty() {
        return Ok(from_option.to_vec());
    }
    let text = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
    let items = text
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty());
    let addresses: Vec<SocketAddr> = items
        .map(|item| {
            item.parse().map_err(|_error| CliError::BadEntry {
                text: item.to_owned(),
            })
        })
        .collect::<Result<_, _>>()?;
    if addresses.is_empty() {
        return Err(CliError::NoEntryGiven);
    }
    Ok(addresses)
}
