use {
    crate::errors::DaemonError,
    log::LevelFilter,
    log4rs::{
        append::console::ConsoleAppender,
        config::{Appender, Config, Root},
        encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
    },
    whinlatch_wire::conf::{LogFormat, LogLevel, LogSettings},
};

/// Pattern of a text line: time, severity, message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%z)} {l:<5} {m}{n}";
/// Pattern of a line that is already formatted.
const LINE_PATTERN: &str = "{m}{n}";
/// Name of the only appender.
const APPENDER: &str = "stdout";

/// Sets up the log of this process to standard output, with the format and level of the settings.
///
/// # Errors
/// [`DaemonError::Log`] if the process has a logger already.
pub fn set_up(settings: &LogSettings) -> Result<(), DaemonError> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let level = match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    init(encoder, level)
}

/// Sets up the log of this process to standard output for lines that are already formatted.
///
/// # Errors
/// [`DaemonError::Log`] if the process has a logger already.
pub fn set_up_lines() -> Result<(), DaemonError> {
    init(
        Box::new(PatternEncoder::new(LINE_PATTERN)),
        LevelFilter::Info,
    )
}

fn init(encoder: Box<dyn Encode>, level: LevelFilter) -> Result<(), DaemonError> {
    let appender = ConsoleAppender::builder().encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build_lossy(Root::builder().appender(APPENDER).build(level))
        .0;
    log4rs::init_config(config)?;
    Ok(())
}
