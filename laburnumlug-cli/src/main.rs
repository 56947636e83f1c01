//! The operator's command line `laburnumlug`.

mod args;
mod ask;
mod audit;
mod bench;
mod edit;
mod exchange;
mod explain;
mod failure;
mod fleet;
mod operator_args;
mod operator_client;
mod standin;
mod status;
mod table;
mod token;

use argh::FromArgs;

use crate::args::{Args, Command};
use crate::failure::Failure;

/// Exit code for faults in the command line or in what it names.
const EXIT_USAGE: i32 = 2;

/// Exit code for commands that failed.
const EXIT_FAILURE: i32 = 1;

fn main() {
    let code = match run(parse_args()) {
        Ok(()) => 0,
        Err(err) => {
            eprintln!("laburnumlug: {err:#}");
            let failure = err.downcast_ref::<Failure>();
            failure.map_or(EXIT_FAILURE, Failure::exit_code)
        }
    };
    std::process::exit(code);
}

/// Parses the command line; faults in it end the process with the code that the help documents.
fn parse_args() -> Args {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match Args::from_args(&["laburnumlug"], &words) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            std::process::exit(0);
        }
        Err(early) => {
            eprintln!(
                "{}\nRun laburnumlug --help for more information.",
                early.output
            );
            std::process::exit(EXIT_USAGE);
        }
    }
}

fn run(args: Args) -> eyre::Result<()> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match args.command {
            Command::Ask(args) => ask::run(args).await,
            Command::Audit(args) => audit::run(args).await,
            Command::Bench(args) => bench::run(args).await,
            Command::Explain(args) => explain::run(&args),
            Command::Control(args) => edit::control(args).await,
            Command::Drain(args) => edit::drain(args).await,
            Command::Fleet(args) => fleet::run(args).await,
            Command::StandIn(args) => standin::run(args).await,
            Command::Status(args) => status::run(args).await,
            Command::Token(args) => token::run(&args),
        }
    })
}
