//! Runs the cases of the review that are no days of the bench: `cases NAME RECORD`, from the root of the repository. Ends with 0 if
//! the rule held, 1 if it was broken, and 2 if the case could not run.

mod crash;
mod deployment;
mod foreign;
mod founding;
mod gone;
mod http;
mod release;
mod servers;
mod stream;
mod traffic;

use std::path::Path;
use std::process::ExitCode;

use crate::deployment::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record_path] = args.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("laburnumlug-review-{}", std::process::id()));
    let record = Record::new();
    let result = std::fs::create_dir_all(&folder).and_then(|()| match name.as_str() {
        "crash" => crash::run(&folder, record.clone(), has_trouble),
        "foreign" => foreign::run(&folder, record.clone(), has_trouble),
        "founding" => founding::run(&folder, record.clone(), has_trouble),
        "release" => release::run(&folder, record.clone(), has_trouble),
        "gone" => gone::run(&folder, record.clone(), has_trouble),
        _ => Err(std::io::Error::other("no case has this name")),
    });
    let (code, line) = match &result {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was broken".to_string()),
        Err(err) => (2, format!("the case could not run: {err}")),
    };
    record.add(&line);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match record.write(Path::new(record_path)) {
        Ok(()) => ExitCode::from(code),
        Err(err) => {
            eprintln!("cannot write the record: {err}");
            ExitCode::from(2)
        }
    }
}
