//! Failures of commands with their exit codes, and the format of log lines.

use std::{
    fmt,
    process::ExitCode,
    time::SystemTime, //
};

use log::LevelFilter;

/// Exit code for invalid arguments.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Failure of a command, with the message for the user.
#[derive(Debug)]
pub enum Failure {
    /// The command was refused or failed.
    Failed(String),
    /// A process or the platform can't be reached; the outcome is unknown.
    Unreachable(String),
    /// The arguments are invalid.
    Usage(String),
}

impl Failure {
    /// Returns the exit code of the process.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::from(1),
            Self::Unreachable(_) => ExitCode::from(3),
            Self::Usage(_) => ExitCode::from(USAGE_EXIT_CODE),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(message) | Self::Unreachable(message) | Self::Usage(message) => {
                formatter.write_str(message)
            }
        }
    }
}

impl From<settings::Error> for Failure {
    fn from(error: settings::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Sends log lines to standard error, with time and level.
///
/// # Errors
///
/// Returns an error if a logger is already set.
pub fn init_logging(verbose: bool) -> Result<(), log::SetLoggerError> {
    let level = if verbose {
        LevelFilter::Debug
    } else {
        LevelFilter::Info
    };
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{time} {:5} {message}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("medlarhatch", level)
        .chain(std::io::stderr())
        .apply()
}
