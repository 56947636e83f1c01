//! The daemon's command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// laburnumlugd, the daemon of the laburnumlug serving system.
#[derive(Debug, FromArgs)]
#[argh(
    example = "laburnumlugd entry --settings examples/gulvdans/entry-1.ini",
    example = "laburnumlugd dev"
)]
pub struct Args {
    #[argh(subcommand)]
    pub(crate) role: Role,
}

/// Role of the process.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Role {
    Entry(EntryArgs),
    Target(TargetArgs),
    Control(ControlArgs),
    Gateway(GatewayArgs),
    Dev(DevArgs),
}

/// Take requests from callers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArgs {
    /// path of the INI file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Stand beside one target and be the only path to it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct TargetArgs {
    /// path of the INI file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Keep a replica of the control log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlArgs {
    /// path of the INI file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Forward requests of routes to targets that the platform's list shows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(crate) struct GatewayArgs {
    /// path of the INI file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Run all roles with stand-ins of engines and services in one process, on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct DevArgs {
    /// address for callers (default 127.0.0.1:7400)
    #[argh(option, default = "default_address(7400)")]
    pub(crate) caller: SocketAddr,

    /// address for operators (default 127.0.0.1:7401)
    #[argh(option, default = "default_address(7401)")]
    pub(crate) operator: SocketAddr,
}

fn default_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
