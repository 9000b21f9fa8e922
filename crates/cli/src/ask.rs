//! The `ask` command: sends prompts and service calls, and fails over to another entry when one can't take
//! them.

mod answer;
mod attempt;
mod batch;
mod client;
mod output;
mod progress;
mod request;

use {
    self::{
        batch::send_batch, client::AskClient, output::print_answer, progress::Progress,
        request::AskRequest,
    },
    crate::{
        cli::AskOptions,
        entries::EntryList,
        errors::{CliError, Exit},
    },
    std::io::{IsTerminal, stderr},
};

/// Sends one request or a batch and prints the results.
pub(crate) async fn run(options: &AskOptions, entries: EntryList) -> Result<Exit, CliError> {
    let request = AskRequest::new(options)?;
    let client = AskClient::new(entries);
    if options.count > 1 {
        return send_batch(&client, &request, options).await;
    }
    let progress = Progress::new(&request, options.progress || stderr().is_terminal());
    let request = request.with_number(1);
    let sending = client.send(&request, !options.json, &progress);
    let answer = progress.show_during(sending).await?;
    print_answer(&answer, options.json)?;
    Ok(answer.exit())
}
