//! Sends prompts and service calls, and moves on to another entry where one can't take them.

mod answer;
mod asker;
mod attempt;
mod mix;
mod output;
mod progress;
mod question;

use {
    self::{
        asker::Asker, mix::ask_many, output::print_answer, progress::Progress, question::Question,
    },
    crate::{
        cli::AskOptions,
        entries::EntryList,
        errors::{CliError, Exit},
    },
    std::io::{IsTerminal, stderr},
};

/// Asks once or many times, and prints what came of it.
pub(crate) async fn run(options: &AskOptions, entries: EntryList) -> Result<Exit, CliError> {
    let question = Question::new(options)?;
    let asker = Asker::new(entries);
    if options.count > 1 {
        return ask_many(&asker, &question, options).await;
    }
    let progress = Progress::new(&question, options.progress || stderr().is_terminal());
    let question = question.numbered(1);
    let asking = asker.ask(&question, !options.json, &progress);
    let answer = progress.show_during(asking).await?;
    print_answer(&answer, options.json)?;
    Ok(answer.exit())
}
