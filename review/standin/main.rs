//! Stand-ins of the platform, of servers and of a client, and the scripts of the cases that use them.
//!
//! Usage: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod deployment;
mod http;
mod servers;
mod leaving;
mod stopping;

use std::process::exit;

use deployment::Record;

/// Outcome of a case: whether the rule held, or why the case could not run.
type Outcome = Result<bool, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.add(format!("case {case}, with the disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "stopping" => stopping::run(&record, has_trouble),
        "leaving" => leaving::run(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let (code, text) = match outcome {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was broken".to_string()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.add(&text);
    println!("{text}");
    exit(code);
}
