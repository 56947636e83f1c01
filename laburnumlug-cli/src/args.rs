//! The command line.

use argh::FromArgs;

use crate::bench::BenchArgs;
use crate::explain::ExplainArgs;
use crate::operator_args::{
    AskArgs, AuditArgs, ControlArgs, DrainArgs, FleetArgs, StatusArgs, TokenArgs,
};

/// laburnumlug, the operator's tool of the laburnumlug serving system.
#[derive(Debug, FromArgs)]
#[argh(
    example = "laburnumlug fleet show > fleet.json",
    example = "laburnumlug fleet apply --base 7 fleet.json",
    example = "laburnumlug drain skriver-4",
    note = "LABURNUMLUG_CONTROL names the control replicas and LABURNUMLUG_TOKEN the operator's token.",
    error_code(1, "the command failed or was refused; nothing was changed"),
    error_code(2, "the command line or the document is at fault; nothing was changed"),
    error_code(3, "another change came first; nothing was changed"),
    error_code(
        4,
        "the outcome is not known: the change or request may have been made"
    )
)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
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

/// Run stand-ins of engines and booking services for trials, until SIGTERM or Ctrl-C.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct StandInArgs {
    /// addresses of engines, separated by commas
    #[argh(option, default = "String::new()")]
    pub(crate) engines: String,

    /// addresses of booking services, separated by commas
    #[argh(option, default = "String::new()")]
    pub(crate) services: String,

    /// prompt tokens that an engine reads in a second; 0 for no delay (default 8000)
    #[argh(option, default = "8000")]
    pub(crate) prefill_rate: u64,

    /// milliseconds that an engine takes for one token (default 10)
    #[argh(option, default = "10")]
    pub(crate) token_ms: u64,
}
