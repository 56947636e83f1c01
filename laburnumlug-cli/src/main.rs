//! `laburnumlug`, the command-line tool for operators of a laburnumlug fleet.

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

/// Exit code for an invalid command line.
const EXIT_USAGE: i32 = 2;

/// Exit code for errors that are not a [`Failure`].
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

/// Parses the command line; prints the error and exits with [`EXIT_USAGE`] if it is invalid.
fn parse_args() -> Args {
    let raw_args: Vec<String> = std::env::args().skip(1).collect();
    let raw_args: Vec<&str> = raw_args.iter().map(String::as_str).collect();
    match Args::from_args(&["laburnumlug"], &raw_args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            std::process::exit(0);
        }
        Err(exit) => {
            eprintln!(
                "{}\nRun laburnumlug --help for more information.",
                exit.output
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
