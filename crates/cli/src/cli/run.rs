use {
    super::options::{Command, ReportOptions, command},
    crate::{
        ask,
        check::check_files,
        entries::EntryList,
        errors::{CliError, Exit},
        reports::{explain, losses_of_log, show_entries, show_records, show_status, story_of_log},
    },
    async_std::task::block_on,
    bpaf::{Args, ParseFailure},
    std::{io::Write, net::SocketAddr, process::ExitCode},
};

/// Addresses of entries, joined by commas, that are used where no option names one.
const ENTRY_VARIABLE: &str = "WHINLATCH_ENTRY";
/// Width of help texts.
const HELP_WIDTH: usize = 100;

/// Runs the command of the command line.
pub(crate) fn run() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return end_of_parsing(&failure).into(),
    };
    match block_on(execute(command)) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("whinlatch: {error}");
            error.exit().into()
        }
    }
}

fn end_of_parsing(failure: &ParseFailure) -> Exit {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Completed,
    }
}

async fn execute(command: Command) -> Result<Exit, CliError> {
    match command {
        Command::Ask(options) => {
            let entries = EntryList::new(given(&options.entry)?);
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
        } if !logs.is_empty() => print(&story_of_log(&logs, &request, options.json)?),
        Command::Explain {
            options, request, ..
        } => {
            let request = request
                .parse()
                .map_err(|_unreadable| CliError::BadRequestId { text: request })?;
            print(&explain(&entry_list(&options)?, request, options.json).await?)
        }
        Command::Losses { json, logs } => print(&losses_of_log(&logs, json)?),
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
    Ok(EntryList::new(given(&options.entry)?))
}

fn given(by_option: &[SocketAddr]) -> Result<Vec<SocketAddr>, CliError> {
    if !by_option.is_empty() {
        return Ok(by_option.to_vec());
    }
    let text = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let addresses: Vec<SocketAddr> = parts
        .map(|part| {
            part.parse().map_err(|_not_one| CliError::BadEntry {
                text: part.to_owned(),
            })
        })
        .collect::<Result<_, _>>()?;
    if addresses.is_empty() {
        return Err(CliError::NoEntryGiven);
    }
    Ok(addresses)
}
