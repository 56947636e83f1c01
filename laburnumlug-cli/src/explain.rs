//! `laburnumlug explain`: one request's story from the logs of several processes.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::{Result, WrapErr, bail};
use serde_json::Value;

/// Time before a request's first line in which what happened to its targets is told, in milliseconds.
const BACKGROUND_MS: i64 = 10_000;

/// Tell one request's story from the logs of several processes.
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

    /// log files; lines may have something in front of their JSON
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// One line of a log.
struct Line {
    /// Unix time in milliseconds.
    time_ms: i64,
    value: Value,
}

impl Line {
    fn text(&self, key: &str) -> &str {
        self.value[key].as_str().unwrap_or("")
    }

    fn attribute(&self, key: &str) -> &str {
        self.value["attributes"][key].as_str().unwrap_or("")
    }

    fn process(&self) -> String {
        let context = &self.value["mdc"];
        let part = |key: &str| context[key].as_str().unwrap_or("?").to_string();
        format!("{} {}", part("role"), part("vm"))
    }
}

/// Prints the story.
pub(crate) fn run(args: &ExplainArgs) -> Result<()> {
    if args.files.is_empty() {
        bail!("no log file is named");
    }
    let mut lines = Vec::new();
    let mut unread = 0;
    for file in &args.files {
        unread += read_lines(file, &mut lines)?;
    }
    print!("{}", story(&args.id, lines)?);
    if unread > 0 {
        eprintln!(
            "laburnumlug: {unread} lines are no whole JSON lines of a log and were passed over"
        );
    }
    Ok(())
}

/// Reads a file's lines and returns how many are not understood.
fn read_lines(file: &Path, lines: &mut Vec<Line>) -> Result<usize> {
    let bytes = std::fs::read(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    let mut unread = 0;
    for text in String::from_utf8_lossy(&bytes)
        .lines()
        .filter(|text| !text.trim().is_empty())
    {
        match parse_line(text) {
            Some(line) => lines.push(line),
            None => unread += 1,
        }
    }
    Ok(unread)
}

fn parse_line(text: &str) -> Option<Line> {
    let value: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let time = humantime::parse_rfc3339_weak(value["time"].as_str()?.get(..23)?).ok()?;
    let since = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some(Line {
        time_ms: i64::try_from(since.as_millis()).ok()?,
        value,
    })
}

/// Tells what the lines say of a request, and what happened to its targets shortly before.
fn story(id: &str, mut lines: Vec<Line>) -> Result<String> {
    lines.sort_by_key(|line| line.time_ms);
    let is_own = |line: &&Line| line.attribute("request_id") == id;
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        bail!(
            "no line of {} bears the id {id}; ordinary successes of plain requests leave none, and the volume is bounded",
            lines.len()
        );
    };
    let targets: BTreeSet<&str> = own
        .iter()
        .flat_map(|line| [line.attribute("target"), line.attribute("reader")])
        .filter(|target| !target.is_empty())
        .collect();
    let vms: BTreeSet<String> = own.iter().map(|line| line.process()).collect();
    let span = first.time_ms - BACKGROUND_MS..=last.time_ms;
    let is_background = |line: &&Line| {
        let concerns = targets.contains(line.attribute("target"))
            || (vms.contains(&line.process()) && line.attribute("target").is_empty());
        line.attribute("request_id").is_empty() && span.contains(&line.time_ms) && concerns
    };
    let mut told: Vec<&Line> = lines
        .iter()
        .filter(|line| is_own(line) || is_background(line))
        .collect();
    told.sort_by_key(|line| line.time_ms);
    let mut text = format!(
        "request {id}, handled by {}\n",
        vms.into_iter().collect::<Vec<_>>().join(", ")
    );
    for line in told {
        let mark = if is_own(&line) { '>' } else { ' ' };
        let offset = line.time_ms - first.time_ms;
        text.push_str(&format!(
            "{mark} {offset:>7} ms  {}: {}{}\n",
            line.process(),
            line.text("message"),
            facts(line)
        ));
    }
    Ok(text)
}

/// Returns a line's attributes but the request's id.
fn facts(line: &Line) -> String {
    let Some(attributes) = line.value["attributes"].as_object() else {
        return String::new();
    };
    let shown = attributes
        .iter()
        .filter(|(key, value)| *key != "request_id" && *value != "");
    let facts: Vec<String> = shown
        .map(|(key, value)| format!("{key}={}", value.as_str().unwrap_or(&value.to_string())))
        .collect();
    match facts.is_empty() {
        true => String::new(),
        false => format!(" ({})", facts.join(", ")),
    }
}
