//! The command `explain`: merges the log records of one request from several processes into a timeline.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::{Result, WrapErr, bail};
use serde_json::Value;

/// Period before the first record of a request in which records of its targets and processes are shown, too.
const CONTEXT_MS: i64 = 10_000;

/// Print a timeline of one request from the logs of several processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "laburnumlug explain 9c41d07be2a35f68 gateway-*.log control-*.log"
)]
pub(crate) struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    id: String,

    /// log files with one JSON record per line; text before the JSON is ignored
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// One log record.
struct LogRecord {
    /// Unix time in milliseconds.
    time_ms: i64,
    json: Value,
}

impl LogRecord {
    fn string_field(&self, key: &str) -> &str {
        self.json[key].as_str().unwrap_or("")
    }

    fn attribute(&self, key: &str) -> &str {
        self.json["attributes"][key].as_str().unwrap_or("")
    }

    fn process_label(&self) -> String {
        let context = &self.json["mdc"];
        let field = |key: &str| context[key].as_str().unwrap_or("?").to_string();
        format!("{} {}", field("role"), field("vm"))
    }
}

/// Prints the timeline of the request.
pub(crate) fn run(args: &ExplainArgs) -> Result<()> {
    if args.files.is_empty() {
        bail!("log files: expected at least one, found none");
    }
    let mut records = Vec::new();
    let mut skipped = 0;
    for file in &args.files {
        skipped += read_records(file, &mut records)?;
    }
    print!("{}", timeline(&args.id, records)?);
    if skipped > 0 {
        eprintln!("laburnumlug: skipped lines that are not complete JSON log records: {skipped}");
    }
    Ok(())
}

/// Appends the records of a log file and returns the number of lines that could not be parsed.
fn read_records(file: &Path, records: &mut Vec<LogRecord>) -> Result<usize> {
    let bytes = std::fs::read(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    let mut skipped = 0;
    for line in String::from_utf8_lossy(&bytes)
        .lines()
        .filter(|line| !line.trim().is_empty())
    {
        match parse_record(line) {
            Some(record) => records.push(record),
            None => skipped += 1,
        }
    }
    Ok(skipped)
}

fn parse_record(line: &str) -> Option<LogRecord> {
    let json: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let time = humantime::parse_rfc3339_weak(json["time"].as_str()?.get(..23)?).ok()?;
    let since_epoch = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some(LogRecord {
        time_ms: i64::try_from(since_epoch.as_millis()).ok()?,
        json,
    })
}

/// Formats a timeline of a request: its own records, marked with `>`, and those about its targets and processes.
fn timeline(id: &str, mut records: Vec<LogRecord>) -> Result<String> {
    records.sort_by_key(|record| record.time_ms);
    let is_of_request = |record: &&LogRecord| record.attribute("request_id") == id;
    let request_records: Vec<&LogRecord> = records.iter().filter(is_of_request).collect();
    let (Some(first), Some(last)) = (request_records.first(), request_records.last()) else {
        bail!(
            "no record of request {id} among {} log records; requests that succeed in time may not be logged, and the log is rate-limited",
            records.len()
        );
    };
    let targets: BTreeSet<&str> = request_records
        .iter()
        .flat_map(|record| [record.attribute("target"), record.attribute("reader")])
        .filter(|target| !target.is_empty())
        .collect();
    let processes: BTreeSet<String> = request_records
        .iter()
        .map(|record| record.process_label())
        .collect();
    let span = first.time_ms - CONTEXT_MS..=last.time_ms;
    let is_context = |record: &&LogRecord| {
        let is_involved = targets.contains(record.attribute("target"))
            || (processes.contains(&record.process_label())
                && record.attribute("target").is_empty());
        record.attribute("request_id").is_empty() && span.contains(&record.time_ms) && is_involved
    };
    let mut shown: Vec<&LogRecord> = records
        .iter()
        .filter(|record| is_of_request(record) || is_context(record))
        .collect();
    shown.sort_by_key(|record| record.time_ms);
    let mut text = format!(
        "request {id}, handled by {}\n",
        processes.into_iter().collect::<Vec<_>>().join(", ")
    );
    for record in shown {
        let marker = if is_of_request(&record) { '>' } else { ' ' };
        let offset = record.time_ms - first.time_ms;
        text.push_str(&format!(
            "{marker} {offset:>7} ms  {}: {}{}\n",
            record.process_label(),
            record.string_field("message"),
            format_attributes(record)
        ));
    }
    Ok(text)
}

/// Formats the attributes of a record, except the request id and empty ones.
fn format_attributes(record: &LogRecord) -> String {
    let Some(attributes) = record.json["attributes"].as_object() else {
        return String::new();
    };
    let shown = attributes
        .iter()
        .filter(|(key, value)| *key != "request_id" && *value != "");
    let pairs: Vec<String> = shown
        .map(|(key, value)| format!("{key}={}", value.as_str().unwrap_or(&value.to_string())))
        .collect();
    match pairs.is_empty() {
        true => String::new(),
        false => format!(" ({})", pairs.join(", ")),
    }
}
