//! Top-level arguments and subcommands of the command line, and the arguments of `standin`.

use argh::FromArgs;

use crate::bench::BenchArgs;
use crate::explain::ExplainArgs;
use crate::operator_args::{
    AskArgs, AuditArgs, ControlArgs, DrainArgs, FleetArgs, StatusArgs, TokenArgs,
};

/// laburnumlug, the command-line tool for operators of the laburnumlug serving system.
#[derive(Debug, FromArgs)]
#[argh(
    example = "laburnumlug fleet show > fleet.json",
    example = "laburnumlug fleet apply --base 7 fleet.json",
    example = "laburnumlug drain skriver-4",
    note = "LABURNUMLUG_CONTROL sets the addresses of the control replicas and LABURNUMLUG_TOKEN the operator's token.",
    error_code(1, "the command failed or was refused; nothing was changed"),
    error_code(2, "the command line or the document is invalid; nothing was changed"),
    error_code(3, "another change came first; nothing was changed"),
    error_code(
        4,
        "the outcome is unknown: the change may have been made or the request may have run"
    )
)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Subcommand to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Ask(AskArgs),
    Audit(AuditArgs),
    Bench(BenchArgs),
    Control(ControlArgs),
    Drain(DrainArgs),
    Explain(ExplainArgs),
    Fleet(FleetArgs),
    StandIn(StandInArgs),
    Status(StatusArgs),
    Token(TokenArgs),
}

/// Run simulated engines and booking services until SIGTERM or Ctrl-C.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct StandInArgs {
    /// listen addresses of the engines, separated by commas
    #[argh(option, default = "String::new()")]
    pub(crate) engines: String,

    /// listen addresses of the booking services, separated by commas
    #[argh(option, default = "String::new()")]
    pub(crate) services: String,

    /// prefill speed of an engine in prompt tokens per second; 0 for no delay (default 8000)
    #[argh(option, default = "8000")]
    pub(crate) prefill_rate: u64,

    /// time that an engine takes to generate one token, in milliseconds (default 10)
    #[argh(option, default = "10")]
    pub(crate) token_ms: u64,
}
