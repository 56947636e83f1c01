//! Setup of logging in JSON lines.

use std::path::Path;

use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

use crate::error::Error;
use crate::log_writer::LogWriter;
use crate::settings::{LogOutput, LogSettings, ProcessSettings};

/// Name by which the root logger refers to the only appender.
const APPENDER: &str = "out";

/// Starts logging; each line carries the process's role, VM and availability zone.
///
/// # Errors
///
/// Fails when the log file cannot be opened.
pub(crate) fn start(
    role: &str,
    process: &ProcessSettings,
    settings: &LogSettings,
) -> Result<(), Error> {
    // All tasks of a process run on the calling thread, so its thread-local context applies to all of them.
    log_mdc::insert("role", role);
    log_mdc::insert("vm", process.vm.as_str());
    log_mdc::insert("zone", process.zone.as_str());
    let appender = match &settings.file {
        Some(path) => file_appender(path)?,
        None => console_appender(settings.output),
    };
    let config = Config::builder()
        .appender(appender)
        .build(Root::builder().appender(APPENDER).build(settings.level))
        .map_err(Error::other)?;
    log4rs::init_config(config).map_err(Error::other)?;
    Ok(())
}

fn file_appender(path: &Path) -> Result<Appender, Error> {
    let appender = FileAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build(path)
        .map_err(|err| {
            Error::other(format!("failed to open log file {}: {err}", path.display()))
        })?;
    Ok(Appender::builder().build(APPENDER, Box::new(appender)))
}

fn console_appender(output: LogOutput) -> Appender {
    let writer = match output {
        LogOutput::StandardError => LogWriter::start(std::io::stderr()),
        LogOutput::StandardOutput => LogWriter::start(std::io::stdout()),
    };
    Appender::builder().build(APPENDER, Box::new(writer))
}
